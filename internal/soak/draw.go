package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// firstFaultAt lets the fleet settle before the first fault: as long as it may
	// take until a key is served again after a failure.
	firstFaultAt = 2 * time.Second
	// recoveryPhase is the time without faults at the end of a run: the time allowed
	// for recovery and as long again to measure it.
	recoveryPhase = 2 * (recoveryBound + restartTime)
	drawInterval  = time.Second            // mean time between two draws
	maxFault      = 5 * time.Second        // longest fault; longer than any lease of the product
	minFault      = 100 * time.Millisecond // shortest fault
	maxBurst      = 4                      // most faults in a burst
	burstShare    = 0.3                    // share of draws that give a burst rather than one fault
)

// kindWeights holds the relative frequency of each kind.
var kindWeights = []kindWeight{
	{Kill, 6}, {Terminate, 5}, {Freeze, 5}, {Wipe, 1}, {HangUp, 1}, {Delay, 3}, {Reset, 3}, {Blackhole, 3}, {Refuse, 2},
	{Partition, 3}, {PartitionTowards, 2}, {PartitionBack, 2}, {ChangePreset, 4}, {TakeOutDataCentre, 3},
}

// clockDiskWeights holds the relative frequencies of the kinds that are added in
// builds with fault injection for clocks and disks.
var clockDiskWeights = []kindWeight{{SlowDisk, 6}, {FullDisk, 3}, {SlowClock, 4}, {FastClock, 4}}

// Draw adds faults to a plan, drawn from its seed and ordered by time.
func Draw(p *Plan) {
	generator := &faultGenerator{
		random: rand.New(rand.NewPCG(uint64(p.Seed), 0)), topology: newTopology(p), end: p.Length.Value() - recoveryPhase, weights: kindWeights}
	if p.ClockDiskFaults {
		generator.weights = slices.Concat(kindWeights, clockDiskWeights)
	}
	for at := firstFaultAt; at < generator.end; at += time.Duration(generator.random.ExpFloat64() * float64(drawInterval)) {
		p.Faults = append(p.Faults, generator.burst(at)...)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}
