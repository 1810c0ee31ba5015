package session

// KeyLoad is the load of neighbouring keys that the upstream holds.
type KeyLoad struct {
	First, Last uint32
	// Rate is in requests a second.
	Rate float64
}
