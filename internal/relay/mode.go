package relay

// Mode is what a relay does with the bytes of one direction.
type Mode uint8

const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Hold keeps bytes back until the direction passes again, as a link that
	// loses every packet does.
	Hold
)
