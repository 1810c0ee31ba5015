package placement

// Limits restricts the moves of one plan.
type Limits struct {
	// MaxRebalancing bounds the shards of a service that are in phase revoking
	// at the same time, for whatever reason: none is revoked for rebalancing
	// while that many are.
	MaxRebalancing int
	// SuspendRebalancing is set while upstreams are still joining, since each
	// join would cause moves again.
	SuspendRebalancing bool
	// DelayFirstGrants is set for a shorter time after a join: the first grants
	// of a service without owners wait for more upstreams.
	DelayFirstGrants bool
	// Policy configures the placement of ranges of keys.
	Policy Policy
}
