package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

type clockInstant = clock.Instant

const (
	seeds      = 2000
	batches    = 20
	faultTime  = 6 * time.Second
	settleTime = 6 * time.Second
	lossRuns   = 100
)

func preset(name string) *fleet.Preset {
	return &fleet.Preset{Name: name, Services: []fleet.Service{{
		Name: serviceName, Keyed: true, Shards: shardCount, QueueLimit: 64, RecordWindow: time.Minute,
		Operations: []fleet.Operation{{Name: "lookup", Idempotent: true, Deadline: time.Second}},
	}}}
}

// settle runs until every shard is served, for at most the given time.
func (w *world) settle(limit time.Duration) bool {
	for end := w.now + limit; w.now < end; {
		w.step()
		if w.leader >= 0 && w.nodes[w.leader].core.State().View.Preset == nil && w.rng.IntN(5) == 0 {
			w.operate(fsm.OperatorChange{Preset: preset("ordinary")})
		}
		if w.failure != nil || int(w.now/stepTime)%5 == 0 && len(w.unserved()) == 0 {
			return w.failure == nil
		}
	}
	return false
}

// TestOwnershipUnderFaults runs a fleet under faults of every kind. After each
// step no shard runs at two doors, epochs and versions only grow, no lease is
// granted without the leader's own, and no door works under a config that was
// replaced longer ago than a view lease. After the faults every shard is served.
func TestOwnershipUnderFaults(t *testing.T) {
	for batch := range batches {
		t.Run(fmt.Sprint(batch), func(t *testing.T) {
			t.Parallel()
			for seed := batch * seeds / batches; seed < (batch+1)*seeds/batches; seed++ {
				if err := underFaults(uint64(seed)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

func underFaults(seed uint64) error {
	w := newWorld(seed, 2+int(seed%3))
	if !w.settle(settleTime) {
		return fmt.Errorf("no service at first, %v: %v", w.unserved(), w.failure)
	}
	w.chaos = []float64{0, 0.02, 0.1}[w.rng.IntN(3)]
	for end := w.now + faultTime; w.now < end && w.failure == nil; w.step() {
		if w.rng.IntN(40) == 0 {
			w.fault()
		}
	}
	w.chaos = 0
	w.heal()
	for range 100 {
		w.step()
	}
	if w.failure == nil && !w.settle(settleTime) {
		w.fail("not served after the faults: %v", w.unserved())
	}
	if w.failure != nil {
		return fmt.Errorf("%w; faults: %v", w.failure, w.faults)
	}
	return nil
}

func (w *world) fault() {
	until := w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond
	n, r := w.nodes[w.rng.IntN(3)], w.routers[w.rng.IntN(len(w.routers))]
	kind := w.rng.IntN(12)
	w.faults = append(w.faults, fmt.Sprintf("%v kind %d %s %s until %v", w.now, kind, n.name, r.name, until))
	switch kind {
	case 0:
		n.frozen = until
	case 1:
		n.cut, n.learnsAt = until, until+100*time.Millisecond
	case 2:
		n.down = until
		n.restart()
	case 3:
		r.frozen = until
	case 4:
		r.cut = until
	case 5:
		r.down = until
		r.restart()
	case 6:
		r.restart()
	case 7:
		r.doorCore.Leave(r.clock.at(w.now))
		r.core.Registration(r.clock.at(w.now), r.upstream, true)
	case 8:
		r.doorCore.Announce(r.clock.at(w.now), r.upstream)
		r.core.Registration(r.clock.at(w.now), r.upstream, false)
	case 9:
		w.operate(fsm.OperatorChange{Preset: preset(fmt.Sprint("preset-", w.now))})
	case 10:
		w.operate(fsm.OperatorChange{DataCentre: &fleet.DataCentreSetting{Name: r.centre, Out: w.rng.IntN(2) == 0}})
	case 11:
		w.operate(fsm.OperatorChange{Upstream: &fleet.UpstreamSetting{Name: r.upstream.Name, Out: w.rng.IntN(2) == 0}})
	}
}

// heal ends every fault and brings everything back.
func (w *world) heal() {
	for _, n := range w.nodes {
		n.frozen, n.cut, n.down = 0, 0, 0
	}
	for _, r := range w.routers {
		r.frozen, r.cut, r.down = 0, 0, 0
		r.doorCore.Announce(r.clock.at(w.now), r.upstream)
		r.core.Registration(r.clock.at(w.now), r.upstream, false)
	}
	for range 300 {
		w.step()
		if w.leader < 0 || w.now < w.nodes[w.leader].ready {
			continue
		}
		view := w.nodes[w.leader].core.State().View
		for _, r := range w.routers {
			if view.DataCentresOut[r.centre] {
				w.operate(fsm.OperatorChange{DataCentre: &fleet.DataCentreSetting{Name: r.centre}})
			}
			if view.UpstreamsOut[r.upstream.Name] {
				w.operate(fsm.OperatorChange{Upstream: &fleet.UpstreamSetting{Name: r.upstream.Name}})
			}
		}
	}
}

// TestServedAgainAfterLoss measures, in virtual time, how long shards stay
// unserved after a holder, the leader, or both are lost at once.
func TestServedAgainAfterLoss(t *testing.T) {
	const target = 2 * time.Second
	for _, test := range []struct {
		name           string
		holder, leader bool
		frozen         bool
	}{{"holder", true, false, false}, {"leader", false, true, false}, {"both", true, true, false}, {"leader frozen", false, true, true}, {"both frozen", true, true, true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var spans []time.Duration
			for seed := range uint64(lossRuns) {
				w := newWorld(seed, 3)
				assert.Assert(t, w.settle(settleTime), "seed %d: %v", seed, w.failure)
				for range 100 + w.rng.IntN(60) {
					w.step()
				}
				w.lose(test.holder, test.leader, test.frozen)
				lost := w.now
				for w.now < lost+2*target && (w.now == lost || len(w.unserved()) > 0) {
					w.step()
				}
				// Service may stop later, while routers look for the new leader.
				spans = append(spans, w.lastUnserved(lost, lost+2*target)-lost)
				assert.NilError(t, w.failure, "seed %d", seed)
			}
			slices.Sort(spans)
			t.Logf("%s: unserved p50 %v, p99 %v, max %v", test.name, spans[len(spans)/2], spans[len(spans)*99/100], spans[len(spans)-1])
			assert.Assert(t, spans[len(spans)-1] <= target, "longest %v", spans[len(spans)-1])
		})
	}
}

func (w *world) lose(holder, leader, frozen bool) {
	r, n := w.routers[w.rng.IntN(len(w.routers))], w.nodes[w.leader]
	switch {
	case frozen:
		n.frozen = w.now + time.Hour
		if holder {
			r.frozen = w.now + time.Hour
		}
		return
	case leader:
		n.down = w.now + time.Hour
	}
	if holder {
		r.down = w.now + time.Hour
	}
	// The end of a process ends its connections.
	for _, other := range w.routers {
		if leader && other.stream != 0 && other.peer == n.index {
			other.stream, other.attachAt = 0, w.now+50*time.Millisecond
		}
	}
}

// lastUnserved runs until end and returns when a shard was last unserved.
func (w *world) lastUnserved(from, end time.Duration) time.Duration {
	last := w.now
	if len(w.unserved()) == 0 && w.now == from+stepTime {
		last = from
	}
	for w.now < end {
		w.step()
		if len(w.unserved()) > 0 {
			last = w.now
		}
	}
	return last
}
