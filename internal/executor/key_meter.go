package executor

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

const (
	loadInterval  = 800 * time.Millisecond // minimum time between load reports, short enough for one report per heartbeat
	loadSmoothing = 0.4                    // weight of the latest interval in a key's rate
	minKeyRate    = 0.02                   // requests a second below which a key is no longer tracked
	maxHotKeys    = 16                     // keys reported one by one
	maxRangeParts = 48                     // parts of ranges in one report
)

// keyMeter measures the request rate of each key that the upstream holds.
type keyMeter struct {
	counts  map[uint32]int
	rates   map[uint32]float64
	started clock.Instant
	// runTimeSum and runs add up the run times since the last report.
	runTimeSum time.Duration
	runs       int
}

func newKeyMeter() *keyMeter { return &keyMeter{counts: map[uint32]int{}, rates: map[uint32]float64{}} }

func (m *keyMeter) count(key uint32) { m.counts[key]++ }

// observeRun takes the run time of a call.
func (m *keyMeter) observeRun(took time.Duration) {
	m.runTimeSum += took
	m.runs++
}

// meanRun returns the mean run time since the last call of meanRun, or zero
// without runs.
func (m *keyMeter) meanRun() time.Duration {
	if m.runs == 0 {
		return 0
	}
	mean := m.runTimeSum / time.Duration(m.runs)
	m.runTimeSum, m.runs = 0, 0
	return mean
}

// report returns the load of the owned ranges if the interval has passed since
// the last report, and nil otherwise.
func (m *keyMeter) report(now clock.Instant, owned []fleet.KeyRange, interval time.Duration) []session.KeyLoad {
	elapsed := now.Sub(m.started)
	if elapsed < interval {
		return nil
	}
	m.updateRates(elapsed)
	m.started = now
	return m.rows(owned)
}

func (m *keyMeter) updateRates(elapsed time.Duration) {
	for key := range m.counts {
		m.rates[key] += 0
	}
	weight := loadSmoothing
	if elapsed < loadInterval {
		// A part of an interval changes a rate as much as its share of a whole one.
		weight = 1 - math.Pow(1-loadSmoothing, elapsed.Seconds()/loadInterval.Seconds())
	}
	for key, rate := range m.rates {
		rate += weight * (float64(m.counts[key])/elapsed.Seconds() - rate)
		m.rates[key] = rate
		if rate < minKeyRate {
			delete(m.rates, key)
		}
	}
	clear(m.counts)
}

// rows returns the load of equal parts of the ranges, then that of the hottest
// keys, which the parts leave out.
func (m *keyMeter) rows(owned []fleet.KeyRange) []session.KeyLoad {
	keys := slices.Sorted(maps.Keys(m.rates))
	hot := m.hottest(keys)
	rest := slices.DeleteFunc(keys, func(key uint32) bool { return slices.Contains(hot, key) })
	var rows []session.KeyLoad
	parts := uint32(max(1, maxRangeParts/max(1, len(owned))))
	for _, r := range owned {
		step := max(1, (uint32(r.Size())+parts-1)/parts)
		next, _ := slices.BinarySearch(rest, r.First)
		for first := r.First; ; first += step {
			row := session.KeyLoad{First: first, Last: min(r.Last, first+step-1)}
			for ; next < len(rest) && rest[next] <= row.Last; next++ {
				row.Rate += m.rates[rest[next]]
			}
			rows = append(rows, row)
			if row.Last == r.Last {
				break
			}
		}
	}
	for _, key := range hot {
		if slices.ContainsFunc(owned, func(r fleet.KeyRange) bool { return r.First <= key && key <= r.Last }) {
			rows = append(rows, session.KeyLoad{First: key, Last: key, Rate: m.rates[key]})
		}
	}
	return rows
}

// hottest returns those of the sorted keys with the highest rates, the highest first.
func (m *keyMeter) hottest(keys []uint32) []uint32 {
	hot := make([]uint32, 0, maxHotKeys+1)
	least := 0.0
	for _, key := range keys {
		rate := m.rates[key]
		if len(hot) == maxHotKeys && rate <= least {
			continue
		}
		at := sort.Search(len(hot), func(i int) bool { return m.rates[hot[i]] < rate })
		hot = slices.Insert(hot, at, key)
		hot = hot[:min(len(hot), maxHotKeys)]
		least = m.rates[hot[len(hot)-1]]
	}
	return hot
}
