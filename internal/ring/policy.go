package ring

// Policy states what Put does when a ring is full.
type Policy uint8

const (
	// Wait blocks the producer until there is space or its context ends.
	Wait Policy = iota
	// Refuse returns ErrFull at once.
	Refuse
	// DropOldest discards the oldest item to make space.
	DropOldest
)

// String returns the policy's name.
func (p Policy) String() string {
	switch p {
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	default:
		return "drop-oldest"
	}
}
