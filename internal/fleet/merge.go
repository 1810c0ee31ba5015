package fleet

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// MergeChanges returns one change with the effect of several that follow each
// other without a gap. There must be at least one, and only the first may be
// full.
func MergeChanges(changes []*Change) *Change {
	if len(changes) == 1 {
		return changes[0]
	}
	first, last := changes[0], changes[len(changes)-1]
	merged := &Change{From: first.From, To: last.To, Full: first.Full}
	routers := map[RouterID]Router{}
	removed := map[RouterID]bool{}
	shards := map[ShardID]Shard{}
	spaces := map[string]KeySpace{}
	centres := map[DataCentre]bool{}
	upstreams := map[string]bool{}
	for _, c := range changes {
		merged.Config = max(merged.Config, c.Config)
		merged.Preset = cmp.Or(c.Preset, merged.Preset)
		for _, r := range c.Routers {
			routers[r.ID] = r
			delete(removed, r.ID)
		}
		for _, id := range c.Removed {
			delete(routers, id)
			removed[id] = true
		}
		for _, s := range c.Shards {
			shards[s.ID] = s
		}
		for _, s := range c.KeySpaces {
			spaces[s.Service] = s
		}
		for _, s := range c.DataCentres {
			centres[s.Name] = s.Out
		}
		for _, s := range c.Upstreams {
			upstreams[s.Name] = s.Out
		}
	}
	merged.fill(routers, removed, shards)
	for _, service := range sortedKeys(spaces) {
		merged.KeySpaces = append(merged.KeySpaces, spaces[service])
	}
	for _, name := range sortedKeys(centres) {
		merged.DataCentres = append(merged.DataCentres, DataCentreSetting{Name: name, Out: centres[name]})
	}
	for _, name := range sortedKeys(upstreams) {
		merged.Upstreams = append(merged.Upstreams, UpstreamSetting{Name: name, Out: upstreams[name]})
	}
	return merged
}

// fill sets the sorted lists of routers and shards.
func (c *Change) fill(routers map[RouterID]Router, removed map[RouterID]bool, shards map[ShardID]Shard) {
	c.Routers = lo.Values(routers)
	slices.SortFunc(c.Routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	c.Removed = sortedKeys(removed)
	c.Shards = lo.Values(shards)
	slices.SortFunc(c.Shards, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.ID.Service, b.ID.Service), cmp.Compare(a.ID.Number, b.ID.Number))
	})
}
