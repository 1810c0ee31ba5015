package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// heartbeat is the interval of the world's steps in seconds. Revoked ranges are released one
// step after the revocation, and served by the next owner in the step after that.
const heartbeat = 0.87

// rangeWorld is a service in virtual time: callers with a rate for each key, upstreams with
// a capacity, their smoothed reports of loads, and plans at each step. Callers repeat refused
// calls up to twice.
type rangeWorld struct {
	*rangeFixture
	t      *testing.T
	random *rand.Rand
	demand []float64
	// speeds are relative to 9 slots and 120 ms.
	speeds []float64
	// rates and epochs are what the owner of each key measures and under which grant.
	rates  []float64
	epochs []fleet.Epoch
	hot    []uint32
	moves  []Move
	now    clock.Instant
}

func newRangeWorld(t *testing.T, upstreams int, policy Policy) *rangeWorld {
	w := &rangeWorld{
		rangeFixture: newSpreadFixture(t, upstreams, policy), t: t, random: rand.New(rand.NewPCG(1, 9)),
		demand: make([]float64, fleet.KeyCount), rates: make([]float64, fleet.KeyCount), epochs: make([]fleet.Epoch, fleet.KeyCount),
	}
	for range upstreams {
		w.speeds = append(w.speeds, 1)
	}
	return w
}

func (w *rangeWorld) capacity(i int) float64 { return 9 * w.speeds[i] / 0.12 }

// addDemand divides a rate evenly among the keys first to last, in addition to what they have.
func (w *rangeWorld) addDemand(first, last uint32, rate float64) {
	for key := first; key <= last; key++ {
		w.demand[key] += rate / float64(last-first+1)
	}
}

// poisson returns a sample of a normal approximation, which suffices for the sums of ranges.
func (w *rangeWorld) poisson(mean float64) float64 {
	return max(0, math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64()))
}

// offered returns the load that callers put on a capacity, with the repetitions of refused
// calls.
func offered(demand, capacity float64) float64 {
	load := demand
	for range 50 {
		refused := max(0, 1-capacity/max(load, 1e-9))
		load = demand * (1 + refused + refused*refused)
	}
	return load
}

// step advances the time by a heartbeat.
func (w *rangeWorld) step() {
	w.now = w.now.Add(timeOf(heartbeat))
	space := w.state.View.KeySpaces["s"]
	for i := range w.speeds {
		router := w.state.View.Routers[routerID(i)]
		if router.Upstream.Boot == "" {
			continue
		}
		w.loads.AddRunTime(router.Upstream.Boot, timeOf(0.12/w.speeds[i]))
		w.loads.AddLimit(router.Upstream.Boot, 9, 9)
		w.report(space, &router, offered(w.demandOf(space, &router), w.capacity(i))/max(1e-9, w.demandOf(space, &router)))
		w.loads.Reported(w.now, router.Upstream.Boot)
	}
	w.releaseRevoked()
	before := w.state.View.KeySpaces["s"]
	assign, moves := PlanRangeMoves(w.state.View, "s", w.loads, w.limits)
	w.moves = append(w.moves, moves...)
	w.apply(before, assign)
}

// releaseRevoked is that of the fixture, followed as the controller does.
func (w *rangeWorld) releaseRevoked() {
	before := w.state.View.KeySpaces["s"]
	if before == nil {
		return
	}
	w.rangeFixture.releaseRevoked()
	change := fleet.DiffKeySpaces(before, w.state.View.KeySpaces["s"])
	w.loads.Follow(before, &change)
}

func (w *rangeWorld) apply(before *fleet.KeySpace, assign *fsm.AssignRanges) {
	if assign == nil {
		return
	}
	result, _ := w.state.Apply(1, &fsm.Command{AssignRanges: assign})
	assert.Assert(w.t, result.Accepted, result.Reason)
	w.checkInvariants(w.t, before)
	change := fleet.DiffKeySpaces(before, w.state.View.KeySpaces["s"])
	w.loads.Follow(before, &change)
}

func (w *rangeWorld) demandOf(space *fleet.KeySpace, router *fleet.Router) float64 {
	sum := 0.0
	w.each(space, router, func(r *fleet.KeyRange) { sum += sumOf(w.demand[r.First : r.Last+1]) })
	return sum
}

func (w *rangeWorld) each(space *fleet.KeySpace, router *fleet.Router, visit func(r *fleet.KeyRange)) {
	for i := range rangesOf(space) {
		if r := &space.Ranges[i]; r.Phase == fleet.ShardGranted && r.HeldBy(router.ID, router.Upstream.Boot) {
			visit(r)
		}
	}
}

func rangesOf(space *fleet.KeySpace) []fleet.KeyRange {
	if space == nil {
		return nil
	}
	return space.Ranges
}

func sumOf(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum
}

// report measures the keys of an upstream, which are offered times their demand, and reports
// its ranges in two parts and the hot keys one by one.
func (w *rangeWorld) report(space *fleet.KeySpace, router *fleet.Router, offered float64) {
	boot := router.Upstream.Boot
	w.each(space, router, func(r *fleet.KeyRange) {
		mean := sumOf(w.demand[r.First:r.Last+1]) * offered * heartbeat
		noise := w.poisson(mean) / max(mean, 1e-9)
		for key := r.First; key <= r.Last; key++ {
			if w.epochs[key] != r.Epoch {
				w.rates[key], w.epochs[key] = 0, r.Epoch
			}
			w.rates[key] += 0.4 * (w.demand[key]*offered*noise - w.rates[key])
		}
		for _, part := range [][2]uint32{{r.First, r.First + uint32(r.Size())/2}, {r.First + uint32(r.Size())/2 + 1, r.Last}} {
			if part[0] > part[1] || part[1] > r.Last {
				continue
			}
			rate := sumOf(w.rates[part[0] : part[1]+1])
			for _, key := range w.hot {
				if part[0] <= key && key <= part[1] {
					rate -= w.rates[key]
				}
			}
			w.loads.Update(boot, part[0], part[1], max(0, rate))
		}
		for _, key := range w.hot {
			if r.First <= key && key <= r.Last {
				w.loads.Update(boot, key, key, w.rates[key])
			}
		}
	})
}

// run advances the time by a number of seconds.
func (w *rangeWorld) run(seconds float64) {
	for range int(seconds / heartbeat) {
		w.step()
	}
}

// utilization returns the demand on each upstream by its capacity.
func (w *rangeWorld) utilization() map[fleet.RouterID]float64 {
	out := map[fleet.RouterID]float64{}
	for i := range w.speeds {
		if router, ok := w.state.View.Routers[routerID(i)]; ok {
			out[router.ID] = w.demandOf(w.state.View.KeySpaces["s"], &router) / w.capacity(i)
		}
	}
	return out
}

func (w *rangeWorld) mostUtilized() float64 {
	most := 0.0
	for _, u := range w.utilization() {
		most = max(most, u)
	}
	return most
}

func (w *rangeWorld) owner(key uint32) fleet.RouterID {
	return w.state.View.KeySpaces["s"].Find(key).Owner
}

func routerID(i int) fleet.RouterID { return fleet.RouterID(fmt.Sprintf("r%02d", i)) }
