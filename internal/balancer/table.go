// Package balancer chooses the executor for a call, from a view of the fleet, the
// latencies that the gateway observed and the load that executors report. Observed
// latencies outweigh reports.
package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const maxCompared = 4 // candidate slots of one choice, of which at most three are filled

// Table holds the executors of every service. It is owned by one duty.
type Table struct {
	settings  Settings
	random    *rand.Rand
	executors map[fleet.RouterID]*executor
	pools     map[string]*pool
	view      *fleet.View
	// freeList holds unused Outstanding objects, linked by next.
	freeList *Outstanding
	// compared holds the comparedCount executors that the last Choose compared.
	compared      [maxCompared]Estimate
	comparedCount int
	// overflowed is set if the last Choose found an executor of another data centre
	// because the own one has no room.
	overflowed bool
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, ^s.Seed)),
		executors: map[fleet.RouterID]*executor{}, pools: map[string]*pool{}, view: fleet.NewView(),
	}
}

// Update takes a view to which a change was just applied. Observations of routers
// that stay are kept. A full change, or one of operators' settings, updates every
// router, any other change only the routers that it names.
func (t *Table) Update(view *fleet.View, change *fleet.Change) {
	t.view = view
	if !change.Full && len(change.DataCentres) == 0 && len(change.Upstreams) == 0 {
		for _, router := range change.Routers {
			t.refresh(router.ID)
		}
		for _, id := range change.Removed {
			t.refresh(id)
		}
		return
	}
	for id := range t.executors {
		t.refresh(id)
	}
	for id := range view.Routers {
		t.refresh(id)
	}
}

// refresh updates a router's executor from the view. Its observations are discarded
// if the router has a new session or its upstream has restarted.
func (t *Table) refresh(id fleet.RouterID) {
	e := t.executors[id]
	if e != nil {
		t.pool(e.router.Upstream.Service).remove(e)
	}
	router, ok := t.view.Routers[id]
	if !ok {
		delete(t.executors, id)
		return
	}
	if e == nil || e.router.Session != router.Session || e.router.Upstream.Boot != router.Upstream.Boot {
		e = &executor{latencyRatio: 1, hash: xxhash.Sum64String(string(t.settings.Self) + "/" + string(id))}
		t.executors[id] = e
	}
	e.router = router
	e.dataCentreLatency = t.pool(router.Upstream.Service).dataCentre(router.DataCentre, t.side(router))
	if t.view.Eligible(router) {
		t.pool(router.Upstream.Service).insert(t.side(router), e)
	}
}

func (t *Table) side(router fleet.Router) int {
	if router.DataCentre == t.settings.DataCentre {
		return localSide
	}
	return remoteSide
}

func (t *Table) pool(service string) *pool {
	p := t.pools[service]
	if p == nil {
		p = &pool{typicalLatency: initialLatency}
		t.pools[service] = p
	}
	return p
}

// Owner returns the router to which a shard is granted. There is none while the shard
// is free or being revoked.
func (t *Table) Owner(id fleet.ShardID) (fleet.Router, bool) {
	shard := t.view.Shard(id)
	if shard.Phase != fleet.ShardGranted {
		return fleet.Router{}, false
	}
	router, ok := t.view.Routers[shard.Owner]
	return router, ok && router.Session == shard.Session
}

// KeyOwner returns the router beside the upstream that holds a key of a ranged
// service, also while the key is being revoked.
func (t *Table) KeyOwner(service string, key uint32) (fleet.Router, bool) {
	space := t.view.KeySpaces[service]
	if space == nil || key >= fleet.KeyCount {
		return fleet.Router{}, false
	}
	r := space.Find(key)
	router, ok := t.view.Routers[r.Owner]
	return router, ok && r.HeldBy(router.ID, router.Upstream.Boot)
}

// KeyGranted reports whether a key of a ranged service is granted to its owner and not
// being moved.
func (t *Table) KeyGranted(service string, key uint32) bool {
	space := t.view.KeySpaces[service]
	return space != nil && key < fleet.KeyCount && space.Find(key).Phase == fleet.ShardGranted
}

// InFlight returns the number of this gateway's calls in flight at a router's
// executor.
func (t *Table) InFlight(id fleet.RouterID) int {
	if e := t.executors[id]; e != nil {
		return e.inFlight
	}
	return 0
}

// Sent counts a call as in flight. The result must be passed exactly once to one of
// Answered, Refused, Abandoned, Failed and Dropped; it is nil for an unknown router.
func (t *Table) Sent(id fleet.RouterID, now clock.Instant) *Outstanding {
	e := t.executors[id]
	if e == nil {
		return nil
	}
	o := t.freeList
	if o == nil {
		o = &Outstanding{}
	} else {
		t.freeList = o.next
	}
	o.sent, o.estimate = now, 0
	if t.settings.Reports {
		o.estimate = e.reportedEstimate(now, t.pool(e.router.Upstream.Service))
		e.probes = 0
	}
	e.addCall(o)
	return o
}

// Dropped ends a call without an observation.
func (t *Table) Dropped(o *Outstanding) {
	if o == nil {
		return
	}
	o.executor.removeCall(o)
	o.executor = nil
	o.next, t.freeList = t.freeList, o
}

// Answered ends a call that the upstream answered, and records its latency and the
// reported load.
func (t *Table) Answered(o *Outstanding, now clock.Instant, load call.Load) {
	if o == nil {
		return
	}
	e, pool := o.executor, t.pool(o.executor.router.Upstream.Service)
	if t.settings.Reports {
		o.executor.failures = 0
		o.executor.observeLatencyRatio(o.estimate, now.Sub(o.sent))
		o.executor.dataCentreLatency.observe(now.Sub(o.sent))
	}
	e.observeLatency(now, now.Sub(o.sent), pool.typicalLatency)
	pool.observeLatency(now.Sub(o.sent))
	t.Dropped(o)
	t.updateLoad(e, now, load)
}

// Refused ends a call that a working executor refused, and records the reported
// load. Its latency is ignored: a refusal takes less time than a run.
func (t *Table) Refused(o *Outstanding, now clock.Instant, load call.Load) {
	if o == nil {
		return
	}
	e := o.executor
	t.Dropped(o)
	t.updateLoad(e, now, load)
}

// Abandoned ends a call whose deadline passed, or whose request ended first, without an
// answer of the upstream. The time since it was sent is a lower bound of its latency and
// is recorded if it is above the current estimate.
func (t *Table) Abandoned(o *Outstanding, now clock.Instant) {
	if o == nil {
		return
	}
	if elapsed := now.Sub(o.sent); float64(elapsed) > o.executor.latencyRatio*o.estimate {
		o.executor.observeLatencyRatio(o.estimate, elapsed)
	}
	if elapsed := now.Sub(o.sent); elapsed > o.executor.latency {
		o.executor.observeLatency(now, elapsed, t.pool(o.executor.router.Upstream.Service).typicalLatency)
	}
	t.Dropped(o)
}

// Redirected ends a call that an executor refused because another one has to be asked. It
// counts as a failure, but does not speak against the reports of the executor.
func (t *Table) Redirected(o *Outstanding, now clock.Instant) {
	if o == nil {
		return
	}
	o.executor.observeFailure(now, t.typicalLatency(o.executor.router.Upstream.Service))
	t.Dropped(o)
}

// Failed ends a call on a lost link or at an executor that cannot serve, and
// records a failure.
func (t *Table) Failed(o *Outstanding, now clock.Instant) {
	if o == nil {
		return
	}
	o.executor.failures, o.executor.failedAt = min(maxOutliers, o.executor.failures+1), now
	o.executor.observeFailure(now, t.typicalLatency(o.executor.router.Upstream.Service))
	t.Dropped(o)
}

// Reported records a load report that came without an answer.
func (t *Table) Reported(id fleet.RouterID, now clock.Instant, load call.Load) {
	if e := t.executors[id]; e != nil && t.settings.Reports {
		t.updateLoad(e, now, load)
	}
}

// updateLoad records a load report. With reports, an empty one is ignored: it comes from
// a link whose executor has not seen the call.
func (t *Table) updateLoad(e *executor, now clock.Instant, load call.Load) {
	switch {
	case !t.settings.Reports:
		e.updateLoad(now, load)
	case load.Limit > 0:
		e.updateLoad(now, load)
		e.keepUnreported(now, t.pool(e.router.Upstream.Service).roundTrip(e))
	}
}

func (t *Table) typicalLatency(service string) time.Duration { return t.pool(service).typicalLatency }
