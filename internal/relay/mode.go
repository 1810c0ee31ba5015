package relay

// Mode is how a relay treats the bytes of one direction.
type Mode uint8

const (
	// Pass forwards bytes.
	Pass Mode = iota
	// Hold keeps bytes until the mode is Pass again. To TCP this looks like a
	// partition in which packets are lost and retransmitted.
	Hold
)
