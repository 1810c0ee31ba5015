package fsm

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

// Amendment changes named parts of the preset in force.
type Amendment struct {
	// Number is that of the preset that it makes, Base that of the preset that
	// it changes.
	Number, Base uint64
	// Routes and Services are added or replace those of their names.
	Routes          []fleet.Route
	Services        []fleet.Service
	Limits          *fleet.CallerLimits
	RemovedRoutes   []string
	RemovedServices []string
}

// apply returns the preset that the amendment makes of another one.
func (a *Amendment) apply(p *fleet.Preset) *fleet.Preset {
	next := *p
	next.Number, next.Base = a.Number, a.Base
	next.Routes = replace(p.Routes, a.Routes, a.RemovedRoutes, func(r fleet.Route) string { return r.Name })
	next.Services = replace(p.Services, a.Services, a.RemovedServices, func(s fleet.Service) string { return s.Name })
	if a.Limits != nil {
		next.Limits = *a.Limits
	}
	return &next
}

// replace returns the items with some replaced or added and some left out,
// sorted by name. An item that is both given and removed is removed.
func replace[T any](items, given []T, removed []string, name func(T) string) []T {
	var out []T
	for _, item := range items {
		same := func(other T) bool { return name(other) == name(item) }
		if !slices.ContainsFunc(given, same) {
			out = append(out, item)
		}
	}
	out = append(out, given...)
	out = slices.DeleteFunc(out, func(item T) bool { return slices.Contains(removed, name(item)) })
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
