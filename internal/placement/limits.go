package placement

// Limits restricts the moves of one plan.
type Limits struct {
	// MaxRebalancing is the largest number of shards of a service that may be
	// in phase revoking at once for rebalancing.
	MaxRebalancing int
	// Settling is set while upstreams are still joining: it suspends
	// rebalancing, since each join would cause moves again.
	Settling bool
	// Starting is set for a shorter time after a join: the first grants of
	// a service without owners wait for more upstreams.
	Starting bool
}
