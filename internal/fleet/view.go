package fleet

import (
	"cmp"
	"slices"

	"github.com/samber/lo"
)

// View is the replicated state of the fleet that routers need. A view may be
// used by one duty only; Clone it to share it.
type View struct {
	Version Version
	// Config counts the accepted operator changes.
	Config         Version
	Preset         *Preset
	Routers        map[RouterID]Router
	Shards         *ShardTable
	KeySpaces      map[string]*KeySpace
	DataCentresOut map[DataCentre]bool
	UpstreamsOut   map[string]bool
}

// NewView returns an empty view with version zero.
func NewView() *View {
	return &View{
		Routers:        map[RouterID]Router{},
		Shards:         NewShardTable(),
		KeySpaces:      map[string]*KeySpace{},
		DataCentresOut: map[DataCentre]bool{},
		UpstreamsOut:   map[string]bool{},
	}
}

// Apply applies a change and reports whether its version follows the view's.
// Otherwise the view stays as it is, and the receiver must ask for a full
// change.
func (v *View) Apply(c *Change) bool {
	if c.To < v.Version || (!c.Full && c.From != v.Version) || (c.PresetChange != nil && v.Preset == nil) {
		return false
	}
	if c.Full {
		*v = *NewView()
	}
	v.Merge(c)
	v.Version = c.To
	return true
}

// Merge applies the contents of a change. It neither checks nor sets the
// version.
func (v *View) Merge(c *Change) {
	if c.Preset != nil {
		v.Preset = c.Preset
	}
	if c.PresetChange != nil {
		v.Preset = c.PresetChange.Apply(v.Preset)
	}
	v.Config = max(v.Config, c.Config)
	for _, router := range c.Routers {
		v.Routers[router.ID] = router
	}
	for _, id := range c.Removed {
		delete(v.Routers, id)
	}
	for _, shard := range c.Shards {
		v.Shards.Set(shard)
	}
	for _, space := range c.KeySpaces {
		v.KeySpaces[space.Service] = &space
	}
	for i := range c.KeySpaceChanges {
		change := &c.KeySpaceChanges[i]
		v.KeySpaces[change.Service] = change.Apply(v.KeySpaces[change.Service])
	}
	v.mergeSettings(c)
}

func (v *View) mergeSettings(c *Change) {
	for _, setting := range c.DataCentres {
		setOrDelete(v.DataCentresOut, setting.Name, setting.Out)
	}
	for _, setting := range c.Upstreams {
		setOrDelete(v.UpstreamsOut, setting.Name, setting.Out)
	}
}

// Full returns a change that replaces any older view by this one. Its lists are
// sorted. Presets are shared with the view.
func (v *View) Full() *Change {
	c := &Change{To: v.Version, Full: true, Preset: v.Preset, Config: v.Config}
	c.Routers = lo.Values(v.Routers)
	slices.SortFunc(c.Routers, func(a, b Router) int { return cmp.Compare(a.ID, b.ID) })
	c.Shards = slices.Collect(v.Shards.All())
	for _, service := range sortedKeys(v.KeySpaces) {
		c.KeySpaces = append(c.KeySpaces, *v.KeySpaces[service])
	}
	for _, name := range sortedKeys(v.DataCentresOut) {
		c.DataCentres = append(c.DataCentres, DataCentreSetting{Name: name, Out: true})
	}
	for _, name := range sortedKeys(v.UpstreamsOut) {
		c.Upstreams = append(c.Upstreams, UpstreamSetting{Name: name, Out: true})
	}
	return c
}

// Clone returns an independent copy. Presets and the ranges of key spaces are
// immutable and shared.
func (v *View) Clone() *View {
	c := NewView()
	c.Merge(v.Full())
	c.Version = v.Version
	return c
}

// Eligible reports whether a router may get new work, that is requests, shards
// and ranges of keys: its upstream is announced, neither is leaving, and neither
// its data centre nor its upstream is out of service.
func (v *View) Eligible(r Router) bool {
	return r.Upstream.Name != "" && !r.Leaving && !r.Departed() && !v.DataCentresOut[r.DataCentre] && !v.UpstreamsOut[r.Upstream.Name]
}

// Shard returns the ownership of a shard. A shard that was never granted is
// free.
func (v *View) Shard(id ShardID) Shard { return v.Shards.Get(id) }

func setOrDelete[K comparable](m map[K]bool, key K, value bool) {
	if value {
		m[key] = true
		return
	}
	delete(m, key)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
