package routes

import (
	"math/rand/v2"
	"time"

	"endivespring/internal/fleet"
)

// maxRotation bounds the steps of a rotation from which its start is drawn.
const maxRotation = 1000

// Entry is a route in a Table, with the round-robin state of its targets and the
// longest timeout of its requests.
type Entry struct {
	Route *fleet.Route
	// credits are those of the targets in smooth weighted round robin, by index.
	credits []int
	// maxTimeout is the longest timeout of a request so far.
	maxTimeout time.Duration
}

// startRotation sets the round-robin state to a random point of the rotation. Routers
// that all start at the same point would send the first requests of a split to the same
// target.
func (e *Entry) startRotation(random *rand.Rand) {
	e.credits = make([]int, len(e.Route.Targets))
	total := 0
	for _, target := range e.Route.Targets {
		total += target.Weight
	}
	if len(e.credits) < 2 || total == 0 {
		return
	}
	for range random.IntN(min(total, maxRotation)) {
		e.Next()
	}
}

// Elapsed estimates how long ago a caller first sent a request, from its remaining
// timeout: all callers of a route are taken to start with the same timeout, the longest
// one seen. It is zero for nested requests, whose timeout is what their parent request
// has left.
func (e *Entry) Elapsed(timeout time.Duration, nested bool) time.Duration {
	if nested || timeout <= 0 {
		return 0
	}
	e.maxTimeout = max(e.maxTimeout, timeout)
	return e.maxTimeout - timeout
}

// Next returns the service of the next request, by smooth weighted round robin: in any
// run of requests, each target gets its share as closely as whole requests allow.
func (e *Entry) Next() string {
	targets := e.Route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	best, total := 0, 0
	for i, target := range targets {
		e.credits[i] += target.Weight
		total += target.Weight
		if e.credits[i] > e.credits[best] {
			best = i
		}
	}
	e.credits[best] -= total
	return targets[best].Service
}
