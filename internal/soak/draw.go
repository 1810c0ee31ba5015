package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// quietStart lets the fleet settle before the first fault; it is the time
	// in which a key is served again after a loss.
	quietStart = 2 * time.Second
	// quietEnd shows the recovery: the bound of it and as long again to measure.
	quietEnd    = 2 * (recoveryBound + restartTime)
	faultsEvery = time.Second            // mean time between series of faults
	longest     = 5 * time.Second        // longest fault; longer than every lease of the product
	shortest    = 100 * time.Millisecond // shortest fault
	mostSeries  = 4                      // faults in a series
	seriesShare = 0.3                    // share of faults that come in a series
)

// weights is how often each kind is drawn.
var weights = []weight{
	{Kill, 6}, {Terminate, 5}, {Freeze, 5}, {Wipe, 1}, {Hang, 1}, {Delay, 3}, {Reset, 3}, {Silence, 3}, {Refuse, 2},
	{Cut, 3}, {CutTowards, 2}, {CutBack, 2}, {Change, 4}, {TakeOut, 3},
}

// trialWeights is how often each kind is drawn besides if clocks and disks can
// misbehave.
var trialWeights = []weight{{SlowDisk, 6}, {FullDisk, 3}, {SlowClock, 4}, {FastClock, 4}}

// Draw fills a plan with faults drawn from its seed.
func Draw(p *Plan) {
	g := &generator{random: rand.New(rand.NewPCG(uint64(p.Seed), 0)), roster: newRoster(p), end: p.Length.Value() - quietEnd, weights: weights}
	if p.Trial {
		g.weights = slices.Concat(weights, trialWeights)
	}
	for at := quietStart; at < g.end; at += time.Duration(g.random.ExpFloat64() * float64(faultsEvery)) {
		p.Faults = append(p.Faults, g.series(at)...)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
