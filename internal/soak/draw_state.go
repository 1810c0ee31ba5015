package soak

import (
	"math/rand/v2"
	"time"

	"endivespring/internal/settings"
)

// draw is the drawing of the faults of one plan.
type draw struct {
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
func (d *draw) series(at time.Duration) []Fault {
	kind, n := d.kind(), 1
	if d.random.Float64() < seriesShare {
		n = 2 + d.random.IntN(mostSeries-1)
	}
	if kind == Wipe {
		n = 1
		if at < d.wiped {
			kind = Kill
		}
		d.wiped = at + longest + repairTime
	}
	targets := d.roster.targets(kind)
	if len(targets) == 0 {
		return nil
	}
	var out []Fault
	for range n {
		length := shortest + time.Duration(d.random.Int64N(int64(longest-shortest)))
		if at+length > d.end {
			break
		}
		out = append(out, Fault{At: rounded(at), For: rounded(length), Kind: kind, Target: targets[d.random.IntN(len(targets))]})
		at += time.Duration(d.random.Int64N(int64(length)))
	}
	return out
}

func (d *draw) kind() Kind {
	sum := 0
	for _, w := range d.weights {
		sum += w.share
	}
	left := d.random.IntN(sum)
	for _, w := range d.weights {
		if left -= w.share; left < 0 {
			return w.kind
		}
	}
	return Kill
}

func rounded(d time.Duration) settings.Duration {
	return settings.Duration(d.Round(time.Millisecond))
}
