package consensus

// Snapshot is the state of the state machine after Index; it replaces all
// entries up to and including Index. The first membership is formed as a
// snapshot at index 1 without Data.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}
