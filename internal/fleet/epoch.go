package fleet

// Epoch is the fencing token of a shard. It grows with every grant.
type Epoch uint64
