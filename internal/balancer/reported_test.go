package balancer

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// loadOf returns the given load for dc0 and half of the slots for the other.
func loadOf(load float64) func(fleet.DataCentre) float64 {
	return func(dc fleet.DataCentre) float64 {
		if dc == "dc0" {
			return load
		}
		return 0.5
	}
}

// remoteShareOf runs a world and returns the share of the calls of dc0 that left it, and
// how often a gateway switched between its own and other data centres in a second.
func (w *world) remoteShareOf(seconds int, load float64) (remote, switches float64) {
	sent := 0.0
	for _, r := range w.routers {
		r.sent, r.remote, r.switches = 0, 0, 0
	}
	w.took = nil
	w.run(time.Duration(seconds)*time.Second, loadOf(load))
	for _, r := range w.routers {
		if r.DataCentre == "dc0" {
			sent, remote, switches = sent+float64(r.sent), remote+float64(r.remote), switches+float64(r.switches)
		}
	}
	return remote / sent, switches / float64(len(w.routers)/2*seconds)
}

// TestOverflowDoesNotFlap guards against gateways that turn back and forth between data
// centres. The load of one data centre is 97% to 140% of its slots, that of the other 50%.
// At 140% a gateway switched 10.9 times a second with neither smoothing nor margin.
func TestOverflowDoesNotFlap(t *testing.T) {
	for _, c := range []struct{ load, switches, remote float64 }{{0.97, 0.5, 0.2}, {1, 0.5, 0.2}, {1.1, 1, 0.25}, {1.4, 2, 0.4}} {
		w := newWorld(1, 8, true)
		w.run(5*time.Second, loadOf(c.load))
		remote, switches := w.remoteShareOf(20, c.load)
		assert.Assert(t, switches < c.switches, "load %.2f: %.2f switches a second", c.load, switches)
		assert.Assert(t, remote < c.remote, "load %.2f: %.2f of the calls left", c.load, remote)
	}
}

// TestOverflowBeforeTimeIsLost has a burst of 1.6 times the slots of one data centre while
// the other is in half use. Nine in ten calls must take less than without reports, and
// calls must stay at home again afterwards. It is the mean of ten runs, since the
// difference is 5%.
func TestOverflowBeforeTimeIsLost(t *testing.T) {
	took := map[bool]time.Duration{}
	for seed := range uint64(20) {
		reports := seed%2 == 0
		w := newWorld(seed/2, 8, reports)
		w.run(5*time.Second, loadOf(0.6))
		w.remoteShareOf(5, 1.6)
		took[reports] += w.quantile(0.9)
		w.run(3*time.Second, loadOf(0.5))
		if remote, _ := w.remoteShareOf(5, 0.5); reports {
			assert.Assert(t, remote < 0.05, "%.2f of the calls still leave", remote)
		}
	}
	assert.Assert(t, took[true] < took[false], "%v", took)
}

// TestWithoutReportsCallsAreStillSpread has every executor send loads with answers only,
// as when the links drop all reports, and one that reports itself full for good. Calls
// must not wait long at any, and the one must still be tried. The load is 80% of the slots.
func TestWithoutReportsCallsAreStillSpread(t *testing.T) {
	w := newWorld(3, 4, true)
	for _, r := range w.routers {
		r.silent = true
	}
	w.routers[0].liar = true
	w.run(5*time.Second, loadOf(0.7))
	w.took = nil
	tried := 0
	for range 10 {
		w.run(time.Second, loadOf(0.7))
		for _, r := range w.routers {
			if r.table.executors["r0"].lastSent > w.now.Add(-time.Second) {
				tried++
			}
		}
	}
	assert.Assert(t, tried >= 20, "tried %d times by 8 gateways in 10 s", tried)
	assert.Assert(t, w.quantile(0.99) < 8*worldRun)
}

// BenchmarkChooseReported measures a choice and the record of its outcome when every
// executor is full, so that both data centres are looked at each time.
func BenchmarkChooseReported(b *testing.B) {
	for _, count := range []int{5, 20, 300} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			s := newSimulation(1, "e", "dc0", testRouters(count, 3)...)
			s.table.settings.Reports = true
			load := call.Load{InFlight: 9, Limit: 9, Queued: 5, Latency: worldRun, Slowdown: 1.2}
			for i := range count {
				s.table.Reported(testRouter(i, "").ID, s.now, load)
			}
			b.ReportAllocs()
			for range b.N {
				router, _ := s.table.Choose(service, s.now, nil)
				s.table.Answered(s.table.Sent(router.ID, s.now), s.now.Add(time.Millisecond), load)
			}
		})
	}
}
