package executor

// Ticket identifies a call: the link that it came on and its number on that
// link.
type Ticket struct {
	Link   uint64
	Number uint64
}
