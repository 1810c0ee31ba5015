package placement

import (
	"time"

	"endivespring/internal/fleet"
)

const (
	// runTimeWeight is the weight of a new sample in the moving average of an
	// upstream's run time. It is low because other load on the upstream's VM
	// varies faster than keys should move.
	runTimeWeight = 0.2
	// minSpeed and maxSpeed bound the speed of an upstream relative to the mean
	// of its service.
	minSpeed = 0.4
	maxSpeed = 2.0
	// maxBootIDs bounds the number of boot IDs whose run time is kept.
	maxBootIDs = 4096
)

// baseKeyLoad is added to the measured load of each key, in requests a second,
// so that keys without measurements are divided evenly.
const baseKeyLoad = 1.0 / fleet.KeyCount

// KeyLoads holds the load of each key of a service, in requests a second, and
// the run times of its upstreams.
type KeyLoads struct {
	rates []float32
	total float64
	// runTimes holds the moving average of each upstream's run time, by boot ID.
	runTimes map[string]time.Duration
}

// NewKeyLoads returns loads without any measurement.
func NewKeyLoads() *KeyLoads {
	return &KeyLoads{rates: make([]float32, fleet.KeyCount), runTimes: map[string]time.Duration{}}
}

// Set divides a rate, in requests a second, evenly among the keys first to last
// and replaces their previous loads. Invalid ranges and rates are ignored.
func (k *KeyLoads) Set(first, last uint32, rate float64) {
	if first > last || last >= fleet.KeyCount || rate < 0 {
		return
	}
	share := float32(rate / float64(last-first+1))
	for key := first; key <= last; key++ {
		k.total += float64(share) - float64(k.rates[key])
		k.rates[key] = share
	}
}

// Total returns the sum of the measured rates, without the base load of keys.
func (k *KeyLoads) Total() float64 { return k.total }

// Sum returns the load of the keys first to last, including the base load of
// each key.
func (k *KeyLoads) Sum(first, last uint32) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += k.keyLoad(key)
	}
	return sum
}

// PrefixEnd returns the last key of the longest subrange that begins at first
// and has at most the given load. The subrange has at least one key.
func (k *KeyLoads) PrefixEnd(first, last uint32, amount float64) uint32 {
	sum := k.keyLoad(first)
	for key := first; key < last; key++ {
		if sum += k.keyLoad(key + 1); sum > amount {
			return key
		}
	}
	return last
}

// SuffixStart returns the first key of the longest subrange that ends at last
// and has at most the given load. The subrange has at least one key.
func (k *KeyLoads) SuffixStart(first, last uint32, amount float64) uint32 {
	sum := k.keyLoad(last)
	for key := last; key > first; key-- {
		if sum += k.keyLoad(key - 1); sum > amount {
			return key
		}
	}
	return first
}

func (k *KeyLoads) keyLoad(key uint32) float64 { return float64(k.rates[key]) + baseKeyLoad }

// AddRunTime adds a sample of the mean run time of the upstream with the given boot ID
// to its moving average. When there are too many boot IDs, all are dropped.
func (k *KeyLoads) AddRunTime(boot string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	if known, ok := k.runTimes[boot]; ok {
		runTime = known + time.Duration(runTimeWeight*float64(runTime-known))
	} else if len(k.runTimes) >= maxBootIDs {
		clear(k.runTimes)
	}
	k.runTimes[boot] = runTime
}

// speed returns the speed of the upstream with the given boot ID relative to the
// mean of the upstreams whose run time is known, or 1 if its own is not.
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
	return min(maxSpeed, max(minSpeed, mean/float64(own)))
}
