package routes

import "endivespring/internal/fleet"

// Entry is a route and whose turn it is among its targets.
type Entry struct {
	Route *fleet.Route
	turns []int
}

// Next returns the service that gets the next request. Each target gets its
// share of any run of requests, as evenly spread as whole requests allow.
func (e *Entry) Next() string {
	targets := e.Route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	best, total := 0, 0
	for i, target := range targets {
		e.turns[i] += target.Weight
		total += target.Weight
		if e.turns[i] > e.turns[best] {
			best = i
		}
	}
	e.turns[best] -= total
	return targets[best].Service
}
