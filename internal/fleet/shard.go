package fleet

// Shard is the ownership of one shard. In phases other than ShardFree, Owner
// and Session name the only router that may serve it.
type Shard struct {
	ID      ShardID
	Phase   ShardPhase
	Owner   RouterID
	Session Session
	Epoch   Epoch
}

// OwnedBy reports whether the session holds the shard, also while it is asked back.
func (s Shard) OwnedBy(session Session) bool {
	return s.Phase != ShardFree && s.Session == session
}
