package fleet

// shardEntry is a shard in a table, without its id.
type shardEntry struct {
	owner   RouterID
	session Session
	epoch   Epoch
	phase   ShardPhase
}
