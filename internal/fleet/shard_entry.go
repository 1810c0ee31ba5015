package fleet

// shardEntry is a shard as stored in a ShardTable, without its ID.
type shardEntry struct {
	owner   RouterID
	session Session
	epoch   Epoch
	phase   ShardPhase
}
