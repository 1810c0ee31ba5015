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
	firstFaultAt = 2 * time.Second
	// quietEnd shows the recovery: the bound of it and as long again to measure.
	recoveryPhase   = 2 * (recoveryBound + restartTime)
	seriesInterval  = time.Second            // mean time between series of faults
	maxFault        = 5 * time.Second        // longest fault; longer than every lease of the product
	minFault        = 100 * time.Millisecond // shortest fault
	maxSeriesFaults = 4                      // faults in a series
	seriesShare     = 0.3                    // share of faults that come in a series
)

// weights is how often each kind is drawn.
var kindWeights = []kindWeight{
	{Kill, 6}, {Terminate, 5}, {Freeze, 5}, {Wipe, 1}, {HangUp, 1}, {Delay, 3}, {Reset, 3}, {Blackhole, 3}, {Refuse, 2},
	{Partition, 3}, {PartitionTowards, 2}, {PartitionBack, 2}, {ChangePreset, 4}, {TakeOutDataCentre, 3},
}

// trialWeights is how often each kind is drawn besides if clocks and disks can
// misbehave.
var clockDiskWeights = []kindWeight{{SlowDisk, 6}, {FullDisk, 3}, {SlowClock, 4}, {FastClock, 4}}

// Draw fills a plan with faults drawn from its seed.
func Draw(p *Plan) {
	generator := &faultGenerator{random: rand.New(rand.NewPCG(uint64(p.Seed), 0)), topology: newTopology(p), end: p.Length.Value() - recoveryPhase, weights: kindWeights}
	if p.Trial {
		generator.weights = slices.Concat(kindWeights, clockDiskWeights)
	}
	for at := firstFaultAt; at < generator.end; at += time.Duration(generator.random.ExpFloat64() * float64(seriesInterval)) {
		p.Faults = append(p.Faults, generator.series(at)...)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
