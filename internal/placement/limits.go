package placement

// Limits bounds what one plan may ask for.
type Limits struct {
	// MaxRebalancing is the largest number of shards of a service that may be
	// on the move for balance alone.
	MaxRebalancing int
}
