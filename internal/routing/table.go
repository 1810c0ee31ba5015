// Package routing chooses the door for a call from a view of the fleet and
// from what the entry itself observed. Its own observations outweigh reports.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Table holds the doors of every service. It is owned by one duty.
type Table struct {
	random    *rand.Rand
	targets   map[fleet.RouterID]*target
	byService map[string][]*target
	view      *fleet.View
}

// NewTable returns an empty table with a seeded source of random choices.
func NewTable(seed uint64) *Table {
	return &Table{
		random:    rand.New(rand.NewPCG(seed, ^seed)),
		targets:   map[fleet.RouterID]*target{},
		byService: map[string][]*target{},
		view:      fleet.NewView(),
	}
}

// Update takes a newer view. What was observed of routers that stay is kept.
func (t *Table) Update(view *fleet.View) {
	t.view = view
	for id := range t.targets {
		if _, ok := view.Routers[id]; !ok {
			delete(t.targets, id)
		}
	}
	clear(t.byService)
	for id, router := range view.Routers {
		known := t.targets[id]
		if known == nil || known.router.Session != router.Session || known.router.Upstream.Boot != router.Upstream.Boot {
			known = &target{}
			t.targets[id] = known
		}
		known.router = router
		if view.Eligible(router) {
			service := router.Upstream.Service
			t.byService[service] = append(t.byService[service], known)
		}
	}
	for _, targets := range t.byService {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.router.ID, b.router.ID) })
	}
}

// Owner returns the router that owns a shard and may get new work for it.
func (t *Table) Owner(id fleet.ShardID) (fleet.Router, bool) {
	shard := t.view.Shard(id)
	if shard.Phase != fleet.ShardGranted {
		return fleet.Router{}, false
	}
	router, ok := t.view.Routers[shard.Owner]
	return router, ok && router.Session == shard.Session
}

// Choose returns the better of two random doors of a service that are not
// excluded, or false if there is none.
func (t *Table) Choose(service string, now clock.Instant, exclude []fleet.RouterID) (fleet.Router, bool) {
	var open []*target
	for _, candidate := range t.byService[service] {
		if !slices.Contains(exclude, candidate.router.ID) {
			open = append(open, candidate)
		}
	}
	switch len(open) {
	case 0:
		return fleet.Router{}, false
	case 1:
		return open[0].router, true
	}
	i := t.random.IntN(len(open))
	j := (i + 1 + t.random.IntN(len(open)-1)) % len(open)
	if open[j].score(now) < open[i].score(now) {
		i = j
	}
	return open[i].router, true
}

// Sent counts a call as under way.
func (t *Table) Sent(id fleet.RouterID) {
	if known := t.targets[id]; known != nil {
		known.inFlight++
	}
}

// Done counts a call as ended without an answer that tells anything.
func (t *Table) Done(id fleet.RouterID) {
	if known := t.targets[id]; known != nil {
		known.inFlight = max(0, known.inFlight-1)
	}
}

// Answered counts a call as ended and takes its latency and the door's load.
func (t *Table) Answered(id fleet.RouterID, now clock.Instant, latency time.Duration, load call.Load) {
	t.Done(id)
	if known := t.targets[id]; known != nil {
		known.load = load
		known.observe(now, latency)
	}
}
