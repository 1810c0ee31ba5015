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
	seeds         = 2000
	batches       = 20
	faultDuration = 6 * time.Second
	serveTimeout  = 6 * time.Second
	lossSeeds     = 100
)

func preset(name string) *fleet.Preset {
	return &fleet.Preset{Name: name, Services: []fleet.Service{{
		Name: serviceName, Keyed: true, Shards: shardCount, QueueLimit: 64, RecordWindow: time.Minute,
		Operations: []fleet.Operation{{Name: "lookup", Idempotent: true, Deadline: time.Second}},
	}}}
}

// runUntilServed runs until every shard is served and reports whether that came about
// within a limit and without a failed check. Without a preset it submits one.
func (sim *simulation) runUntilServed(limit time.Duration) bool {
	for end := sim.now + limit; sim.now < end; {
		sim.step()
		if sim.leader >= 0 && sim.nodes[sim.leader].core.State().View.Preset == nil && sim.rng.IntN(5) == 0 {
			sim.operate(fsm.OperatorChange{Preset: preset("ordinary")})
		}
		if sim.failure != nil || int(sim.now/stepTime)%5 == 0 && len(sim.unserved()) == 0 {
			return sim.failure == nil
		}
	}
	return false
}

// TestOwnershipUnderFaults runs a fleet under injected faults of every kind. These
// invariants hold after each step: no shard runs at two executors, epochs and versions
// never decrease, no lease is granted by a process that does not hold the leader's
// lease, and no executor works under a config version that was replaced longer ago
// than a view lease. After the faults every shard is served again.
func TestOwnershipUnderFaults(t *testing.T) {
	for batch := range batches {
		t.Run(fmt.Sprint(batch), func(t *testing.T) {
			t.Parallel()
			for seed := batch * seeds / batches; seed < (batch+1)*seeds/batches; seed++ {
				if err := runUnderFaults(uint64(seed)); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

func runUnderFaults(seed uint64) error {
	sim := newSimulation(seed, 2+int(seed%3))
	if !sim.runUntilServed(serveTimeout) {
		return fmt.Errorf("shards unserved at the start, %v: %v", sim.unserved(), sim.failure)
	}
	sim.faultRate = []float64{0, 0.02, 0.1}[sim.rng.IntN(3)]
	for end := sim.now + faultDuration; sim.now < end && sim.failure == nil; sim.step() {
		if sim.rng.IntN(40) == 0 {
			sim.injectFault()
		}
	}
	sim.faultRate = 0
	sim.removeFaults()
	for range 100 {
		sim.step()
	}
	if sim.failure == nil && !sim.runUntilServed(serveTimeout) {
		sim.fail("shards unserved after the faults: %v", sim.unserved())
	}
	if sim.failure != nil {
		return fmt.Errorf("%w; faults: %v", sim.failure, sim.faults)
	}
	return nil
}

// injectFault injects a random fault, of up to 4 s where it lasts, or an operator's
// change.
func (sim *simulation) injectFault() {
	until := sim.now + time.Duration(sim.rng.IntN(4000))*time.Millisecond
	n, r := sim.nodes[sim.rng.IntN(3)], sim.routers[sim.rng.IntN(len(sim.routers))]
	kind := sim.rng.IntN(12)
	sim.faults = append(sim.faults, fmt.Sprintf("%v kind %d %s %s until %v", sim.now, kind, n.name, r.name, until))
	switch kind {
	case 0:
		n.frozenUntil = until
	case 1:
		n.partitionedUntil, n.learnsTermAt = until, until+100*time.Millisecond
	case 2:
		n.downUntil = until
		n.restart()
	case 3:
		r.frozenUntil = until
	case 4:
		r.partitionedUntil = until
	case 5:
		r.downUntil = until
		r.restart()
	case 6:
		r.restart()
	case 7:
		r.executor.Leave(r.clock.at(sim.now))
		r.core.SetRegistration(r.clock.at(sim.now), r.upstream, true, false)
	case 8:
		r.executor.Announce(r.clock.at(sim.now), r.upstream)
		r.core.SetRegistration(r.clock.at(sim.now), r.upstream, false, false)
	case 9:
		sim.operate(fsm.OperatorChange{Preset: preset(fmt.Sprint("preset-", sim.now))})
	case 10:
		sim.operate(fsm.OperatorChange{DataCentre: &fleet.DataCentreSetting{Name: r.dataCentre, Out: sim.rng.IntN(2) == 0}})
	case 11:
		sim.operate(fsm.OperatorChange{Upstream: &fleet.UpstreamSetting{Name: r.upstream.Name, Out: sim.rng.IntN(2) == 0}})
	}
}

// removeFaults ends every fault, announces all upstreams again and reverts what
// operators took out of service.
func (sim *simulation) removeFaults() {
	for _, n := range sim.nodes {
		n.frozenUntil, n.partitionedUntil, n.downUntil = 0, 0, 0
	}
	for _, r := range sim.routers {
		r.frozenUntil, r.partitionedUntil, r.downUntil = 0, 0, 0
		r.executor.Announce(r.clock.at(sim.now), r.upstream)
		r.core.SetRegistration(r.clock.at(sim.now), r.upstream, false, false)
	}
	for range 300 {
		sim.step()
		if sim.leader < 0 || sim.now < sim.nodes[sim.leader].leaseFrom {
			continue
		}
		view := sim.nodes[sim.leader].core.State().View
		for _, r := range sim.routers {
			if view.DataCentresOut[r.dataCentre] {
				sim.operate(fsm.OperatorChange{DataCentre: &fleet.DataCentreSetting{Name: r.dataCentre}})
			}
			if view.UpstreamsOut[r.upstream.Name] {
				sim.operate(fsm.OperatorChange{Upstream: &fleet.UpstreamSetting{Name: r.upstream.Name}})
			}
		}
	}
}

// TestServedAgainAfterLoss measures, in virtual time, how long shards stay unserved
// after their owner, the leader, or both at once crash or freeze. The longest time must
// not exceed the target.
func TestServedAgainAfterLoss(t *testing.T) {
	const target = 2 * time.Second
	for _, test := range []struct {
		name          string
		owner, leader bool
		frozen        bool
	}{{"holder", true, false, false}, {"leader", false, true, false}, {"both", true, true, false}, {"leader frozen", false, true, true}, {"both frozen", true, true, true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var spans []time.Duration
			for seed := range uint64(lossSeeds) {
				sim := newSimulation(seed, 3)
				assert.Assert(t, sim.runUntilServed(serveTimeout), "seed %d: %v", seed, sim.failure)
				for range 100 + sim.rng.IntN(60) {
					sim.step()
				}
				sim.injectLoss(test.owner, test.leader, test.frozen)
				lost := sim.now
				for sim.now < lost+2*target && (sim.now == lost || len(sim.unserved()) > 0) {
					sim.step()
				}
				// Shards may become unserved later than the loss, while routers look
				// for the new leader.
				spans = append(spans, sim.lastUnserved(lost, lost+2*target)-lost)
				assert.NilError(t, sim.failure, "seed %d", seed)
			}
			slices.Sort(spans)
			t.Logf("%s: unserved p50 %v, p99 %v, max %v", test.name, spans[len(spans)/2], spans[len(spans)*99/100], spans[len(spans)-1])
			assert.Assert(t, spans[len(spans)-1] <= target, "longest %v", spans[len(spans)-1])
		})
	}
}

// injectLoss stops a random router, the leader, or both for good: by a freeze, or else
// by a crash.
func (sim *simulation) injectLoss(owner, leader, frozen bool) {
	r, n := sim.routers[sim.rng.IntN(len(sim.routers))], sim.nodes[sim.leader]
	switch {
	case frozen:
		n.frozenUntil = sim.now + time.Hour
		if owner {
			r.frozenUntil = sim.now + time.Hour
		}
		return
	case leader:
		n.downUntil = sim.now + time.Hour
	}
	if owner {
		r.downUntil = sim.now + time.Hour
	}
	// A process that ends closes its connections; one that is frozen does not.
	for _, other := range sim.routers {
		if leader && other.stream != 0 && other.peer == n.index {
			other.stream, other.attachAt = 0, sim.now+50*time.Millisecond
		}
	}
}

// lastUnserved runs until end and returns the end of the last time in which a shard
// was unserved, or from if there was none.
func (sim *simulation) lastUnserved(from, end time.Duration) time.Duration {
	last := sim.now
	if len(sim.unserved()) == 0 && sim.now == from+stepTime {
		last = from
	}
	for sim.now < end {
		sim.step()
		if len(sim.unserved()) > 0 {
			last = sim.now
		}
	}
	return last
}
