package soak

import (
	"math/rand/v2"
	"time"

	"endivespring/internal/settings"
)

// faultGenerator draws the faults of one plan.
type faultGenerator struct {
	random   *rand.Rand
	topology *topology
	// weights holds the kinds that can be drawn.
	weights []kindWeight
	// end is when the last fault must be over.
	end time.Duration
	// nextWipe is when the next Wipe is allowed: by then the control process that last
	// lost its data is a voter again.
	nextWipe time.Duration
}

// burst returns one fault or a burst of overlapping faults of one kind. Control
// processes lose their data one at a time: while one rejoins, Wipe becomes Kill.
func (g *faultGenerator) burst(at time.Duration) []Fault {
	kind, n := g.kind(), 1
	if g.random.Float64() < burstShare {
		n = 2 + g.random.IntN(maxBurst-1)
	}
	if kind == Wipe {
		n = 1
		if at < g.nextWipe {
			kind = Kill
		}
		g.nextWipe = at + maxFault + rejoinTime
	}
	targets := g.topology.targets(kind)
	if len(targets) == 0 {
		return nil
	}
	var out []Fault
	for range n {
		length := minFault + time.Duration(g.random.Int64N(int64(maxFault-minFault)))
		if at+length > g.end {
			break
		}
		out = append(out, Fault{At: rounded(at), For: rounded(length), Kind: kind, Target: targets[g.random.IntN(len(targets))]})
		at += time.Duration(g.random.Int64N(int64(length)))
	}
	return out
}

// kind draws a kind by its weight.
func (g *faultGenerator) kind() Kind {
	sum := 0
	for _, w := range g.weights {
		sum += w.weight
	}
	rest := g.random.IntN(sum)
	for _, w := range g.weights {
		if rest -= w.weight; rest < 0 {
			return w.kind
		}
	}
	return Kill
}

func rounded(d time.Duration) settings.Duration {
	return settings.Duration(d.Round(time.Millisecond))
}
