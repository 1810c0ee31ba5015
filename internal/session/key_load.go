package session

// KeyLoad is the load of a contiguous range of keys that the upstream holds.
type KeyLoad struct {
	// First and Last are the first and the last key of the range.
	First, Last uint32
	// Rate is that of all its keys together, in requests a second.
	Rate float64
}
