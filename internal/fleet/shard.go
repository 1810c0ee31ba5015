package fleet

// Shard is the ownership of one shard. Unless the shard is free, Owner and
// Session identify the only router that may serve it.
type Shard struct {
	ID      ShardID
	Phase   ShardPhase
	Owner   RouterID
	Session Session
	Epoch   Epoch
}

// OwnedBy reports whether the session owns the shard. A shard being revoked
// still belongs to its owner until it is released.
func (s Shard) OwnedBy(session Session) bool {
	return s.Phase != ShardFree && s.Session == session
}
