package soak

import (
	"math/rand/v2"
	"time"

	"endivespring/internal/settings"
)

// generator draws the faults of one plan.
type generator struct {
	random *rand.Rand
	roster *roster
	// weights are those of the kinds that can be drawn.
	weights []weight
	// end is when all faults are over.
	end time.Duration
	// wiped is when the last emptied disk is whole again.
	wiped time.Duration
}

// series returns one fault, or several of one kind that follow each other.
func (g *generator) series(at time.Duration) []Fault {
	kind, n := g.kind(), 1
	if g.random.Float64() < seriesShare {
		n = 2 + g.random.IntN(mostSeries-1)
	}
	if kind == Wipe {
		n = 1
		if at < g.wiped {
			kind = Kill
		}
		g.wiped = at + longest + repairTime
	}
	targets := g.roster.targets(kind)
	if len(targets) == 0 {
		return nil
	}
	var out []Fault
	for range n {
		length := shortest + time.Duration(g.random.Int64N(int64(longest-shortest)))
		if at+length > g.end {
			break
		}
		out = append(out, Fault{At: rounded(at), For: rounded(length), Kind: kind, Target: targets[g.random.IntN(len(targets))]})
		at += time.Duration(g.random.Int64N(int64(length)))
	}
	return out
}

func (g *generator) kind() Kind {
	sum := 0
	for _, w := range g.weights {
		sum += w.share
	}
	left := g.random.IntN(sum)
	for _, w := range g.weights {
		if left -= w.share; left < 0 {
			return w.kind
		}
	}
	return Kill
}

func rounded(d time.Duration) settings.Duration {
	return settings.Duration(d.Round(time.Millisecond))
}
