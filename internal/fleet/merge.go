package fleet

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// MergeChanges returns one change with the combined effect of consecutive
// changes. There must be at least one, and only the first may be full. A single
// change is returned itself, not a copy.
func MergeChanges(changes []*Change) *Change {
	if len(changes) == 1 {
		return changes[0]
	}
	first, last := changes[0], changes[len(changes)-1]
	merged := &Change{From: first.From, To: last.To, Full: first.Full}
	routers := map[RouterID]Router{}
	removed := map[RouterID]bool{}
	shards := map[ShardID]Shard{}
	keySpaces, keySpaceChanges := map[string]KeySpace{}, map[string]KeySpaceChange{}
	dataCentres := map[DataCentre]bool{}
	upstreams := map[string]bool{}
	for _, c := range changes {
		merged.Config = max(merged.Config, c.Config)
		merged.addPreset(c)
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
			keySpaces[s.Service] = s
			delete(keySpaceChanges, s.Service)
		}
		for _, change := range c.KeySpaceChanges {
			mergeKeySpace(keySpaces, keySpaceChanges, change)
		}
		for _, s := range c.DataCentres {
			dataCentres[s.Name] = s.Out
		}
		for _, s := range c.Upstreams {
			upstreams[s.Name] = s.Out
		}
	}
	merged.setRoutersAndShards(routers, removed, shards)
	for _, service := range sortedKeys(keySpaces) {
		merged.KeySpaces = append(merged.KeySpaces, keySpaces[service])
	}
	for _, service := range sortedKeys(keySpaceChanges) {
		merged.KeySpaceChanges = append(merged.KeySpaceChanges, keySpaceChanges[service])
	}
	for _, name := range sortedKeys(dataCentres) {
		merged.DataCentres = append(merged.DataCentres, DataCentreSetting{Name: name, Out: dataCentres[name]})
	}
	for _, name := range sortedKeys(upstreams) {
		merged.Upstreams = append(merged.Upstreams, UpstreamSetting{Name: name, Out: upstreams[name]})
	}
	return merged
}

// mergeKeySpace adds a difference to the whole key space of its service, if there is one,
// or else to the earlier difference.
func mergeKeySpace(spaces map[string]KeySpace, changes map[string]KeySpaceChange, change KeySpaceChange) {
	if whole, ok := spaces[change.Service]; ok {
		spaces[change.Service] = *change.Apply(&whole)
		return
	}
	if earlier, ok := changes[change.Service]; ok {
		change = earlier.then(change)
	}
	changes[change.Service] = change
}

// setRoutersAndShards sets the lists of routers, sorted by ID, and of shards, sorted
// by service and number.
func (c *Change) setRoutersAndShards(routers map[RouterID]Router, removed map[RouterID]bool, shards map[ShardID]Shard) {
	c.Routers = lo.Values(routers)
	slices.SortFunc(c.Routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	c.Removed = sortedKeys(removed)
	c.Shards = lo.Values(shards)
	slices.SortFunc(c.Shards, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.ID.Service, b.ID.Service), cmp.Compare(a.ID.Number, b.ID.Number))
	})
}

// addPreset adds the preset of a later change.
func (c *Change) addPreset(later *Change) {
	switch {
	case later.Preset != nil:
		c.Preset, c.PresetChange = later.Preset, nil
	case later.PresetChange != nil && c.Preset != nil:
		c.Preset = later.PresetChange.Apply(c.Preset)
	default:
		c.PresetChange = c.PresetChange.then(later.PresetChange)
	}
}
