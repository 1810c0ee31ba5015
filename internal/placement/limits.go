package placement

// Limits bounds what one plan may ask for.
type Limits struct {
	// MaxRebalancing is the largest number of shards of a service that may be
	// on the move for balance alone.
	MaxRebalancing int
	// Settling is set while upstreams are still joining: no shard moves for
	// balance alone.
	Settling bool
	// Starting is set for a shorter time after a join: a service of which
	// nothing is served waits for more upstreams.
	Starting bool
}
