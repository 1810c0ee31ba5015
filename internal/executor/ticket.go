package executor

// Ticket names a call at the door: the link it came on and its number there.
type Ticket struct {
	Link   uint64
	Number uint64
}
