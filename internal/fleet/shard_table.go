package fleet

import (
	"iter"
	"slices"

	"github.com/samber/lo"
)

// maxInternedNames bounds the memory for router IDs: those of routers that no
// longer exist accumulate.
const maxInternedNames = 16384

// ShardTable holds the ownership of shards by service and number. A shard that
// was never set is free. A table may be used by one duty only.
type ShardTable struct {
	services map[string][]shardEntry
	// interned holds one copy of each owner's ID, shared by its entries.
	interned map[RouterID]RouterID
}

// NewShardTable returns an empty table.
func NewShardTable() *ShardTable {
	return &ShardTable{services: map[string][]shardEntry{}, interned: map[RouterID]RouterID{}}
}

// Get returns a shard. One that was never set is free, with epoch zero.
func (t *ShardTable) Get(id ShardID) Shard {
	entries := t.services[id.Service]
	if int(id.Number) >= len(entries) {
		return Shard{ID: id}
	}
	return entries[id.Number].shard(id)
}

// Set replaces a shard's ownership and extends the table if necessary.
func (t *ShardTable) Set(s Shard) {
	entries := t.services[s.ID.Service]
	if missing := int(s.ID.Number) + 1 - len(entries); missing > 0 {
		entries = append(entries, make([]shardEntry, missing)...)
		t.services[s.ID.Service] = entries
	}
	entries[s.ID.Number] = shardEntry{owner: t.intern(s.Owner), session: s.Session, epoch: s.Epoch, phase: s.Phase}
}

// All iterates over the shards that were ever granted, sorted by service and
// number.
func (t *ShardTable) All() iter.Seq[Shard] {
	return func(yield func(Shard) bool) {
		names := lo.Keys(t.services)
		slices.Sort(names)
		for _, name := range names {
			for number, entry := range t.services[name] {
				if entry.epoch > 0 && !yield(entry.shard(ShardID{Service: name, Number: uint32(number)})) {
					return
				}
			}
		}
	}
}

func (t *ShardTable) intern(name RouterID) RouterID {
	if known, ok := t.interned[name]; ok {
		return known
	}
	if len(t.interned) >= maxInternedNames {
		clear(t.interned)
	}
	t.interned[name] = name
	return name
}

func (e shardEntry) shard(id ShardID) Shard {
	return Shard{ID: id, Phase: e.phase, Owner: e.owner, Session: e.session, Epoch: e.epoch}
}
