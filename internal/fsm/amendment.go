package fsm

import "endivespring/internal/fleet"

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
	next.Routes = fleet.MergeNamed(p.Routes, a.Routes, a.RemovedRoutes, func(r fleet.Route) string { return r.Name })
	next.Services = fleet.MergeNamed(p.Services, a.Services, a.RemovedServices, func(s fleet.Service) string { return s.Name })
	if a.Limits != nil {
		next.Limits = *a.Limits
	}
	return &next
}
