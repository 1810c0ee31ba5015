package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ShardID identifies a shard: a partition of a service's keys by hash.
type ShardID struct {
	Service string
	Number  uint32
}

// ShardOf returns the shard of a key by its hash, for a service with the given
// number of shards, which must be positive.
func ShardOf(service, key string, shards uint32) ShardID {
	return ShardID{Service: service, Number: uint32(xxhash.Sum64String(key) % uint64(shards))}
}

// String returns the form service/number.
func (id ShardID) String() string {
	return id.Service + "/" + strconv.FormatUint(uint64(id.Number), 10)
}
