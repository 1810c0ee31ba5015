package fleet

// Epoch is the fencing token of a shard or a range of keys. Each grant has a
// higher epoch than any grant of the same keys before it; an epoch never
// decreases.
type Epoch uint64
