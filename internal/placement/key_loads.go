package placement

import (
	"sort"
	"time"

	"endivespring/internal/clock"
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
	// maxBootIDs bounds the number of upstreams whose rates settle. A former leader goes on
	// noting them, but does not plan, so that Prune does not drop any.
	maxBootIDs = 4096
	// limitWeight is the weight of a new sample in the moving average of an upstream's
	// limit. A cold start lowers the limit for seconds only.
	limitWeight = 0.2
	// settlingReports is the number of load reports until the rates of an upstream
	// that has got or given keys are usable: they are smoothed over some reports, 0.4
	// of each, so that after three 78% of a change show.
	settlingReports = 3
	// reportInterval is the least time between reports that count towards
	// settlingReports. Regular ones come every 870 ms, give or take half a renewal
	// interval; early ones follow each other in less time and show less of a change.
	reportInterval = 600 * time.Millisecond
)

// baseKeyLoad is added to the measured load of each key, in requests a second,
// so that keys without measurements are divided evenly.
const baseKeyLoad = 1.0 / fleet.KeyCount

// KeyLoads holds the load of each key of a service, in requests a second, and
// the run times of its upstreams.
type KeyLoads struct {
	rates []float32
	total float64
	// sums are the prefix sums of the loads; stale is set once they are outdated.
	sums  []float64
	stale bool
	// runTimes holds the moving average of each upstream's run time, by boot ID.
	runTimes map[string]time.Duration
	// limits holds the moving average of each upstream's limit, and settling the number
	// of reports until its rates are usable, both by boot ID.
	limits   map[string]float64
	settling map[string]int
	// countedAt is when the last report of a settling upstream was counted, by boot ID.
	countedAt map[string]clock.Instant
	// busyMoves holds the latest moves of busy keys.
	busyMoves map[uint32]busyKeyMove
}

// NewKeyLoads returns loads without any measurement.
func NewKeyLoads() *KeyLoads {
	return &KeyLoads{
		rates: make([]float32, fleet.KeyCount), runTimes: map[string]time.Duration{}, limits: map[string]float64{}, settling: map[string]int{}, countedAt: map[string]clock.Instant{},
		busyMoves: map[uint32]busyKeyMove{},
	}
}

// Set divides a rate, in requests a second, evenly among the keys first to last
// and replaces their previous loads. Invalid ranges and rates are ignored.
func (k *KeyLoads) Set(first, last uint32, rate float64) {
	if first > last || last >= fleet.KeyCount || rate < 0 {
		return
	}
	k.stale = true
	share := float32(rate / float64(last-first+1))
	total, rates := k.total, k.rates[first:last+1]
	for i, known := range rates {
		total += float64(share) - float64(known)
		rates[i] = share
	}
	k.total = total
}

// Total returns the sum of the measured rates, without the base load of keys.
func (k *KeyLoads) Total() float64 { return k.total }

// Sum returns the load of the keys first to last, including the base load of
// each key.
func (k *KeyLoads) Sum(first, last uint32) float64 {
	sums := k.prefixSums()
	return sums[last+1] - sums[first]
}

// PrefixEnd returns the last key of the longest subrange that begins at first
// and has at most the given load. The subrange has at least one key.
func (k *KeyLoads) PrefixEnd(first, last uint32, amount float64) uint32 {
	sums := k.prefixSums()
	beyond := sort.Search(int(last-first), func(i int) bool { return sums[first+uint32(i)+2]-sums[first] > amount })
	return first + uint32(beyond)
}

// SuffixStart returns the first key of the longest subrange that ends at last
// and has at most the given load. The subrange has at least one key.
func (k *KeyLoads) SuffixStart(first, last uint32, amount float64) uint32 {
	sums := k.prefixSums()
	within := sort.Search(int(last-first), func(i int) bool { return sums[last+1]-sums[first+uint32(i)] <= amount })
	return first + uint32(within)
}

// prefixSums returns the load of all keys before each key. A plan asks for the load of
// thousands of ranges, so that adding up each of them would take most of its time.
func (k *KeyLoads) prefixSums() []float64 {
	if k.sums == nil {
		k.sums = make([]float64, fleet.KeyCount+1)
		k.stale = true
	}
	if k.stale {
		sum, sums := 0.0, k.sums[1:]
		for key, rate := range k.rates {
			sum += float64(rate) + baseKeyLoad
			sums[key] = sum
		}
		k.stale = false
	}
	return k.sums
}

func (k *KeyLoads) keyLoad(key uint32) float64 { return float64(k.rates[key]) + baseKeyLoad }

// AddRunTime adds a sample of the mean run time of the upstream with the given boot ID
// to its moving average.
func (k *KeyLoads) AddRunTime(boot string, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	if known, ok := k.runTimes[boot]; ok {
		runTime = known + time.Duration(runTimeWeight*float64(runTime-known))
	}
	k.runTimes[boot] = runTime
}

// AddLimit adds a sample of the limit of the upstream with the given boot ID to its moving
// average, which begins at the announced number of slots. It follows a higher limit at once,
// since an executor raises it only after the upstream has proved it. The first samples of
// an upstream that is not known yet are no basis for moves.
func (k *KeyLoads) AddLimit(boot string, slots, limit int) {
	if limit <= 0 {
		return
	}
	known, ok := k.limits[boot]
	if !ok {
		known = float64(max(1, slots))
		k.unsettle(boot)
	}
	k.limits[boot] = max(float64(limit), known+limitWeight*(float64(limit)-known))
}

func (k *KeyLoads) measured(first, last uint32) float64 {
	sum := 0.0
	for key := first; key <= last; key++ {
		sum += float64(k.rates[key])
	}
	return sum
}

// Update takes the rate of the keys first to last from a report of the upstream with the
// given boot ID. While its rates settle, they do not lower what is known.
func (k *KeyLoads) Update(boot string, first, last uint32, rate float64) {
	if !k.Settling(boot) {
		k.Set(first, last, rate)
	} else if first <= last && last < fleet.KeyCount && rate > k.measured(first, last) {
		k.Set(first, last, rate)
	}
}

// Follow marks the rates of the upstreams that got or gave keys by a change as settling.
// The key space is that before the change, or nil.
func (k *KeyLoads) Follow(before *fleet.KeySpace, change *fleet.KeySpaceChange) {
	if before == nil || before.LastEpoch == 0 {
		return
	}
	for i := range change.Ranges {
		r := &change.Ranges[i]
		switch old := before.Find(r.First); {
		case r.Phase == fleet.ShardGranted && r.Epoch > before.LastEpoch:
			k.unsettle(r.Boot)
		case r.Phase == fleet.ShardFree && old.Phase != fleet.ShardFree:
			k.unsettle(old.Boot)
		}
	}
}

func (k *KeyLoads) unsettle(boot string) {
	if len(k.settling) >= maxBootIDs {
		clear(k.settling)
		clear(k.countedAt)
	}
	k.settling[boot] = settlingReports
}

// Settling reports whether the rates of the upstream with the given boot ID lag behind a
// change of its keys.
func (k *KeyLoads) Settling(boot string) bool { return k.settling[boot] > 0 }

// Reported records a load report of the upstream with the given boot ID.
func (k *KeyLoads) Reported(now clock.Instant, boot string) {
	if !k.Settling(boot) || now.Sub(k.countedAt[boot]) < reportInterval {
		return
	}
	k.countedAt[boot] = now
	if k.settling[boot]--; k.settling[boot] == 0 {
		delete(k.settling, boot)
		delete(k.countedAt, boot)
	}
}

// meanRunTime returns the mean of the known run times of the upstreams, or zero.
func (k *KeyLoads) meanRunTime() time.Duration {
	if len(k.runTimes) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, runTime := range k.runTimes {
		sum += runTime
	}
	return sum / time.Duration(len(k.runTimes))
}

// speed returns the speed of the upstream with the given boot ID relative to the mean run
// time of all, or 1 if its own is not known.
func (k *KeyLoads) speed(boot string, mean time.Duration) float64 {
	own, ok := k.runTimes[boot]
	if !ok {
		return 1
	}
	return min(maxSpeed, max(minSpeed, float64(mean)/float64(own)))
}

// capacity returns the requests a second that the upstream with the given boot ID takes:
// its limit, or else its slots, divided by its run time. It is zero if no run time is known.
func (k *KeyLoads) capacity(boot string, slots int, mean time.Duration) float64 {
	if mean == 0 {
		return 0
	}
	limit, ok := k.limits[boot]
	if !ok {
		limit = float64(slots)
	}
	return limit * k.speed(boot, mean) / mean.Seconds()
}
