package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// heartbeat is the interval of the world's steps in seconds. Revoked ranges are released one
// step after the revocation, and measured by the next owner in the step after that.
const heartbeat = 0.87

// rangeWorld is a service in virtual time: callers with a demand for each key, upstreams with
// a speed relative to 9 slots and 120 ms, their smoothed reports, and plans at each step.
// Callers repeat refused calls up to twice.
type rangeWorld struct {
	*rangeFixture
	t      *testing.T
	random *rand.Rand
	demand *KeyLoads
	speeds []float64
	// variation is the greatest relative difference of a reported run time from the mean.
	variation float64
	// rates and epochs are what the owner of each key measures and under which grant.
	rates  []float64
	epochs []fleet.Epoch
	hot    []uint32
	moves  []Move
	now    clock.Instant
}

func newRangeWorld(t *testing.T, upstreams int, policy Policy) *rangeWorld {
	return &rangeWorld{
		rangeFixture: newSpreadFixture(t, upstreams, policy), t: t, random: rand.New(rand.NewPCG(1, 9)), speeds: slices.Repeat([]float64{1}, upstreams),
		demand: NewKeyLoads(), rates: make([]float64, fleet.KeyCount), epochs: make([]fleet.Epoch, fleet.KeyCount),
	}
}

func (w *rangeWorld) capacity(i int) float64 { return 9 * w.speeds[i] / 0.12 }

// addDemand divides a rate evenly among the keys first to last, in addition to what they have.
func (w *rangeWorld) addDemand(first, last uint32, rate float64) {
	for key := first; key <= last; key++ {
		w.demand.Set(key, key, float64(w.demand.rates[key])+rate/float64(last-first+1))
	}
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

// run advances the time by a number of seconds.
func (w *rangeWorld) run(seconds float64) {
	for range int(seconds / heartbeat) {
		w.now = w.now.Add(time.Duration(heartbeat * float64(time.Second)))
		for i := range w.speeds {
			w.report(i)
		}
		if w.space().LastEpoch > 0 {
			w.follow(w.releaseRevoked)
		}
		w.loads.Prune(w.now, w.state.View)
		assign, moves := PlanRangeMoves(w.state.View, "s", w.loads, w.limits)
		w.loads.FollowMoves(w.now, moves)
		w.moves = append(w.moves, moves...)
		w.follow(func() {
			if before := w.state.View.KeySpaces["s"]; assign != nil {
				w.state.Apply(1, &fsm.Command{AssignRanges: assign})
				w.checkInvariants(w.t, before)
			}
		})
	}
}

// follow follows a change of the key space as the controller does.
func (w *rangeWorld) follow(change func()) {
	before := w.space()
	change()
	difference := fleet.DiffKeySpaces(before, w.space())
	w.loads.Follow(before, &difference)
}

func (w *rangeWorld) space() *fleet.KeySpace {
	if space := w.state.View.KeySpaces["s"]; space != nil {
		return space
	}
	return fleet.NewKeySpace("s")
}

// ranges returns the ranges granted to an upstream, and the demand on them.
func (w *rangeWorld) ranges(i int) (ranges []fleet.KeyRange, demand float64) {
	id, space := routerID(i), w.space()
	for j := range space.Ranges {
		if r := &space.Ranges[j]; r.Phase == fleet.ShardGranted && r.Owner == id {
			ranges = append(ranges, *r)
			demand += w.demand.Sum(r.First, r.Last)
		}
	}
	return ranges, demand
}

// report measures and reports the load of an upstream: its ranges, and the hot keys one by
// one. The number of calls for a range is a sample of a normal approximation of Poisson's
// distribution.
func (w *rangeWorld) report(i int) {
	boot := w.state.View.Routers[routerID(i)].Upstream.Boot
	if boot == "" {
		return
	}
	varied := 1 + w.variation*(2*w.random.Float64()-1)
	w.loads.AddRunTime(boot, time.Duration(varied*0.12/w.speeds[i]*float64(time.Second)))
	w.loads.AddLimit(boot, 9, 9)
	ranges, demand := w.ranges(i)
	repeated := offered(demand, w.capacity(i)) / max(1e-9, demand)
	for _, r := range ranges {
		mean := max(1e-9, w.demand.Sum(r.First, r.Last)*repeated*heartbeat)
		noise := max(0, 1+w.random.NormFloat64()/math.Sqrt(mean))
		sum, hot := 0.0, lo.Filter(w.hot, func(key uint32, _ int) bool { return r.First <= key && key <= r.Last })
		rates, epochs := w.rates[r.First:r.Last+1], w.epochs[r.First:r.Last+1]
		for i, demand := range w.demand.rates[r.First : r.Last+1] {
			if epochs[i] != r.Epoch {
				rates[i], epochs[i] = 0, r.Epoch
			}
			rates[i] += 0.4 * (float64(demand)*repeated*noise - rates[i])
			sum += rates[i]
		}
		w.loads.Update(boot, r.First, r.Last, max(0, sum-lo.SumBy(hot, func(key uint32) float64 { return w.rates[key] })))
		for _, key := range hot {
			w.loads.Update(boot, key, key, w.rates[key])
		}
	}
	w.loads.Reported(w.now, boot)
}

// utilization returns the demand on each upstream relative to its capacity, and the greatest.
func (w *rangeWorld) utilization() (all map[fleet.RouterID]float64, greatest float64) {
	all = map[fleet.RouterID]float64{}
	for i := range w.speeds {
		_, demand := w.ranges(i)
		all[routerID(i)] = demand / w.capacity(i)
		greatest = max(greatest, all[routerID(i)])
	}
	return all, greatest
}

func routerID(i int) fleet.RouterID { return fleet.RouterID(fmt.Sprintf("r%02d", i)) }
