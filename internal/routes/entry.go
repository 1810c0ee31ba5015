package routes

import (
	"time"

	"endivespring/internal/fleet"
)

// Entry is a route and whose turn it is among its targets.
type Entry struct {
	Route *fleet.Route
	turns []int
	// longest is the longest time that a caller of the route gave.
	longest time.Duration
}

// Elapsed returns how long ago the caller of a request first asked, judged by
// the time that it still gives: callers of a route start with the same. Calls
// of upstreams give what their own request has left.
func (e *Entry) Elapsed(timeout time.Duration, nested bool) time.Duration {
	if nested || timeout <= 0 {
		return 0
	}
	e.longest = max(e.longest, timeout)
	return e.longest - timeout
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
