package session

// KeyLoad is the load of a run of keys that the upstream holds.
type KeyLoad struct {
	// First and Last are the first and the last key of the run.
	First, Last uint32
	// Rate is that of all its keys together, in requests a second.
	Rate float64
}
