package router

// outgoingBody is the body of a call whose parts are still to be sent on a link.
type outgoingBody struct {
	number uint64
	rest   []byte
}
