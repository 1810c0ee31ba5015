package balancer

// Policy is how a door is chosen for a call without an owner.
type Policy uint8

const (
	// Estimated takes the better of random doors by estimated finish time.
	Estimated Policy = iota
	// RoundRobin takes doors in turn and passes over those that have as many
	// calls of this entry as they have slots. It is a baseline for measurements.
	RoundRobin
	// TwoChoices takes the one of two random doors with fewer calls of this
	// entry. It is a baseline for measurements.
	TwoChoices
)

// ParsePolicy returns the policy with the given name and whether there is one.
func ParsePolicy(name string) (Policy, bool) {
	switch name {
	case "", "estimated":
		return Estimated, true
	case "round-robin":
		return RoundRobin, true
	case "two-choices":
		return TwoChoices, true
	default:
		return Estimated, false
	}
}
