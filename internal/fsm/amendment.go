package fsm

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

// Amendment replaces, adds or removes named parts of the preset in force.
type Amendment struct {
	// Number is that of the resulting preset, Base that of the preset to which the
	// amendment applies.
	Number, Base uint64
	// Routes and Services are added, or replace those with the same names.
	Routes          []fleet.Route
	Services        []fleet.Service
	Limits          *fleet.CallerLimits
	RemovedRoutes   []string
	RemovedServices []string
}

// apply returns a copy of a preset with the amendment applied.
func (a *Amendment) apply(p *fleet.Preset) *fleet.Preset {
	next := *p
	next.Number, next.Base = a.Number, a.Base
	next.Routes = mergeNamed(p.Routes, a.Routes, a.RemovedRoutes, func(r fleet.Route) string { return r.Name })
	next.Services = mergeNamed(p.Services, a.Services, a.RemovedServices, func(s fleet.Service) string { return s.Name })
	if a.Limits != nil {
		next.Limits = *a.Limits
	}
	return &next
}

// mergeNamed returns the items with the updated ones added or replaced and the removed
// ones left out, sorted by name. An item that is both updated and removed is removed.
func mergeNamed[T any](items, updated []T, removed []string, name func(T) string) []T {
	var out []T
	for _, item := range items {
		same := func(other T) bool { return name(other) == name(item) }
		if !slices.ContainsFunc(updated, same) {
			out = append(out, item)
		}
	}
	out = append(out, updated...)
	out = slices.DeleteFunc(out, func(item T) bool { return slices.Contains(removed, name(item)) })
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
