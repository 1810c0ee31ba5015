package soak

// request is what one caller wants.
type request struct {
	id, service, operation, key string
	// first is the number of the router that it is sent to first.
	firstRouter int
}
