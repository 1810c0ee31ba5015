package fleet

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/samber/lo"
)

// PresetChange is the difference between two presets: the routes and services that were
// added, replaced or removed, and the other fields of the later preset. Its lists are
// sorted by name.
type PresetChange struct {
	// Version, Name, Number, Base and Limits are those of the later preset.
	Version Version
	Name    string
	Number  uint64
	Base    uint64
	Limits  CallerLimits
	// Services and Routes were added or replace those with the same names.
	Services        []Service
	Routes          []Route
	RemovedServices []string
	RemovedRoutes   []string
}

// DiffPresets returns the difference between two presets.
func DiffPresets(from, to *Preset) *PresetChange {
	c := &PresetChange{Version: to.Version, Name: to.Name, Number: to.Number, Base: to.Base, Limits: to.Limits}
	c.Services, c.RemovedServices = diffNamed(from.Services, to.Services, serviceName)
	c.Routes, c.RemovedRoutes = diffNamed(from.Routes, to.Routes, routeName)
	return c
}

// Apply returns the later preset. It shares the unchanged items with the earlier one.
func (c *PresetChange) Apply(p *Preset) *Preset {
	return &Preset{
		Version: c.Version, Name: c.Name, Number: c.Number, Base: c.Base, Limits: c.Limits,
		Services: MergeNamed(p.Services, c.Services, c.RemovedServices, serviceName),
		Routes:   MergeNamed(p.Routes, c.Routes, c.RemovedRoutes, routeName),
	}
}

// then returns the combined effect of this change and a later one, which may be nil.
func (c *PresetChange) then(later *PresetChange) *PresetChange {
	if c == nil || later == nil {
		return cmp.Or(later, c)
	}
	merged := *later
	merged.Services, merged.RemovedServices = chainNamed(c.Services, c.RemovedServices, later.Services, later.RemovedServices, serviceName)
	merged.Routes, merged.RemovedRoutes = chainNamed(c.Routes, c.RemovedRoutes, later.Routes, later.RemovedRoutes, routeName)
	return &merged
}

func serviceName(s Service) string { return s.Name }

func routeName(r Route) string { return r.Name }

// MergeNamed returns the items with the updated ones added or replaced and the removed
// ones left out, sorted by name. An item that is both updated and removed is removed.
func MergeNamed[T any](items, updated []T, removed []string, name func(T) string) []T {
	byName := lo.KeyBy(items, name)
	for _, item := range updated {
		byName[name(item)] = item
	}
	for _, key := range removed {
		delete(byName, key)
	}
	return sortedValues(byName)
}

// diffNamed returns the items that were added or replaced, sorted by name, and the names
// of those that were removed.
func diffNamed[T any](from, to []T, name func(T) string) (updated []T, removed []string) {
	earlier := lo.KeyBy(from, name)
	for _, item := range to {
		if before, ok := earlier[name(item)]; !ok || !reflect.DeepEqual(before, item) {
			updated = append(updated, item)
		}
		delete(earlier, name(item))
	}
	return sortedValues(lo.KeyBy(updated, name)), sortedKeys(earlier)
}

// chainNamed returns the combined effect of two consecutive differences.
func chainNamed[T any](updated []T, removed []string, laterUpdated []T, laterRemoved []string, name func(T) string) ([]T, []string) {
	kept := lo.Without(removed, lo.Map(laterUpdated, func(item T, _ int) string { return name(item) })...)
	all := lo.Union(kept, laterRemoved)
	slices.Sort(all)
	return MergeNamed(updated, laterUpdated, laterRemoved, name), all
}

func sortedValues[T any](byName map[string]T) []T {
	var out []T
	for _, key := range sortedKeys(byName) {
		out = append(out, byName[key])
	}
	return out
}
