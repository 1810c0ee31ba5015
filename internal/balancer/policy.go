package balancer

// Policy selects how an executor is chosen for a call that has no owner.
type Policy uint8

const (
	// Estimated chooses the executor with the least estimated time to finish among
	// two or three random ones.
	Estimated Policy = iota
	// RoundRobin chooses executors in turn and skips those to which this gateway has
	// as many calls in flight as their upstreams have slots. It is a baseline for
	// measurements.
	RoundRobin
	// TwoChoices chooses the one of two random executors to which this gateway has
	// fewer calls in flight. It is a baseline for measurements.
	TwoChoices
)

// ParsePolicy returns the policy with the given name and whether there is one. The
// empty name is Estimated.
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
