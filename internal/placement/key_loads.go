package placement

import (
	"time"

	"endivespring/internal/fleet"
)

const (
	// runTimeWeight is the weight of a new sample in an upstream's run time. What
	// shares its VM changes faster than keys should move.
	runTimeWeight = 0.2
	// leastSpeed and mostSpeed bound how much slower or faster than the mean of
	// its service an upstream is taken to be.
	leastSpeed = 0.4
	mostSpeed  = 2.0
	// maxStarts bounds the starts of upstreams that are remembered.
	maxStarts = 4096
)

// evenLoad is what a key counts without any request, in requests a second, so
// that keys are divided evenly while nothing is known of them.
const evenLoad = 1.0 / fleet.Keys

// KeyLoads is the load of each key of a service, in requests a second.
type KeyLoads struct {
	rates []float32
	total float64
	// runTimes holds the mean run times of upstreams, by their start.
	runTimes map[string]time.Duration
}

// NewKeyLoads returns loads of which nothing is known.
func NewKeyLoads() *KeyLoads {
	return &KeyLoads{rates: make([]float32, fleet.Keys), runTimes: map[string]time.Duration{}}
}

// Set spreads a rate evenly over the keys first to last.
func (k *KeyLoads) Set(first, last uint32, rate float64) {
	if first > last || last >= fleet.Keys || rate < 0 {
		return
	}
	share := float32(rate / float64(last-first+1))
	for key := first; key <= last; key++ {
		k.total += float64(share) - float64(k.rates[key])
		k.rates[key] = share
	}
}

// Total returns the sum of all rates.
func (k *KeyLoads) Total() float64 { return k.total }

// Of returns the load of the keys first to last, with what they count without
// a request.
func (k *KeyLoads) Of(first, last uint32) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += k.at(key)
	}
	return sum
}

// Cut returns the last key of the longest run from first on whose load is at
// most an amount. The run has one key at least.
func (k *KeyLoads) Cut(first, last uint32, amount float64) uint32 {
	sum := k.at(first)
	for key := first; key < last; key++ {
		if sum += k.at(key + 1); sum > amount {
			return key
		}
	}
	return last
}

// CutBack returns the first key of the longest run up to last whose load is at
// most an amount. The run has one key at least.
func (k *KeyLoads) CutBack(first, last uint32, amount float64) uint32 {
	sum := k.at(last)
	for key := last; key > first; key-- {
		if sum += k.at(key - 1); sum > amount {
			return key
		}
	}
	return first
}

func (k *KeyLoads) at(key uint32) float64 { return float64(k.rates[key]) + evenLoad }

// Ran takes the mean run time of one start of an upstream.
func (k *KeyLoads) Ran(boot string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	if known, ok := k.runTimes[boot]; ok {
		runTime = known + time.Duration(runTimeWeight*float64(runTime-known))
	} else if len(k.runTimes) >= maxStarts {
		clear(k.runTimes)
	}
	k.runTimes[boot] = runTime
}

// speed returns how fast a start of an upstream is, relative to the mean of
// those that are known; 1 if it is not known.
func (k *KeyLoads) speed(boot string) float64 {
	own, ok := k.runTimes[boot]
	if !ok {
		return 1
	}
	sum := 0.0
	for _, runTime := range k.runTimes {
		sum += float64(runTime)
	}
	mean := sum / float64(len(k.runTimes))
	return min(mostSpeed, max(leastSpeed, mean/float64(own)))
}
