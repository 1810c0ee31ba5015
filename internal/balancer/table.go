// Package balancer chooses the door for a call from a view of the fleet and
// from what the entry itself observed. Its own observations outweigh reports.
package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const mostCompared = 4 // doors compared for one call

// Table holds the doors of every service. It is owned by one duty.
type Table struct {
	settings Settings
	random   *rand.Rand
	targets  map[fleet.RouterID]*target
	pools    map[string]*pool
	view     *fleet.View
	free     *Outstanding
	// estimates holds what the last Choose compared, as many as compared.
	estimates [mostCompared]Estimate
	compared  int
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, ^s.Seed)),
		targets: map[fleet.RouterID]*target{}, pools: map[string]*pool{}, view: fleet.NewView(),
	}
}

// Update takes a view to which a change was just applied. What was observed of
// routers that stay is kept. A change of operators' settings, or a full one,
// looks at every router, another one only at the routers it names.
func (t *Table) Update(view *fleet.View, change *fleet.Change) {
	t.view = view
	if !change.Full && len(change.DataCentres) == 0 && len(change.Upstreams) == 0 {
		for _, router := range change.Routers {
			t.place(router.ID)
		}
		for _, id := range change.Removed {
			t.place(id)
		}
		return
	}
	for id := range t.targets {
		t.place(id)
	}
	for id := range view.Routers {
		t.place(id)
	}
}

// place makes one router's target follow the view.
func (t *Table) place(id fleet.RouterID) {
	known := t.targets[id]
	if known != nil {
		t.pool(known.router.Upstream.Service).remove(known)
	}
	router, ok := t.view.Routers[id]
	if !ok {
		delete(t.targets, id)
		return
	}
	if known == nil || known.router.Session != router.Session || known.router.Upstream.Boot != router.Upstream.Boot {
		known = &target{weight: xxhash.Sum64String(string(t.settings.Self) + "/" + string(id))}
		t.targets[id] = known
	}
	known.router = router
	if t.view.Eligible(router) {
		t.pool(router.Upstream.Service).insert(t.side(router), known)
	}
}

func (t *Table) side(router fleet.Router) int {
	if router.DataCentre == t.settings.DataCentre {
		return doorsLocal
	}
	return doorsRemote
}

func (t *Table) pool(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{typical: firstLatency}
		t.pools[service] = p
	}
	return p
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

// KeyOwner returns the router beside the upstream that holds a key of a ranged
// service, also while the key is asked back.
func (t *Table) KeyOwner(service string, key uint32) (fleet.Router, bool) {
	space := t.view.KeySpaces[service]
	if space == nil || key >= fleet.Keys {
		return fleet.Router{}, false
	}
	r := space.Find(key)
	router, ok := t.view.Routers[r.Owner]
	return router, ok && r.HeldBy(router.ID, router.Upstream.Boot)
}

// InFlight returns the number of calls under way at a router's door.
func (t *Table) InFlight(id fleet.RouterID) int {
	if known := t.targets[id]; known != nil {
		return known.inFlight
	}
	return 0
}

// Sent counts a call as under way. The result must be given to Answered,
// Failed or Dropped exactly once; it is nil for an unknown router.
func (t *Table) Sent(id fleet.RouterID, now clock.Instant) *Outstanding {
	known := t.targets[id]
	if known == nil {
		return nil
	}
	o := t.free
	if o == nil {
		o = &Outstanding{}
	} else {
		t.free = o.next
	}
	o.sent = now
	known.add(o)
	return o
}

// Dropped counts a call as ended without having learned anything.
func (t *Table) Dropped(o *Outstanding) {
	if o == nil {
		return
	}
	o.target.remove(o)
	o.target = nil
	o.next, t.free = t.free, o
}

// Answered counts a call as ended by an answer from the upstream.
func (t *Table) Answered(o *Outstanding, now clock.Instant, load call.Load) {
	if o == nil {
		return
	}
	pool := t.pool(o.target.router.Upstream.Service)
	o.target.report(now, load)
	o.target.observe(now, now.Sub(o.sent), pool.typical)
	pool.observe(now.Sub(o.sent))
	t.Dropped(o)
}

// Refused counts a call as ended by a door that is too busy. How long a
// refusal takes says nothing of how long a run takes.
func (t *Table) Refused(o *Outstanding, now clock.Instant, load call.Load) {
	if o != nil {
		o.target.report(now, load)
	}
	t.Dropped(o)
}

// Outlived counts a call as ended by its caller before it was answered: its
// latency is at least the time so far.
func (t *Table) Outlived(o *Outstanding, now clock.Instant) {
	if o == nil {
		return
	}
	if elapsed := now.Sub(o.sent); elapsed > o.target.latency {
		o.target.observe(now, elapsed, t.pool(o.target.router.Upstream.Service).typical)
	}
	t.Dropped(o)
}

// Failed counts a call as ended by a lost link or by a door that cannot serve.
func (t *Table) Failed(o *Outstanding, now clock.Instant) {
	if o == nil {
		return
	}
	o.target.failed(now, t.typical(o.target.router.Upstream.Service))
	t.Dropped(o)
}

func (t *Table) typical(service string) time.Duration { return t.pool(service).typical }
