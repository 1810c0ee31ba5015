package executor

import (
	"cmp"
	"math"
	"slices"
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
	hot := m.hottest()
	var rows []session.KeyLoad
	parts := uint32(max(1, maxRangeParts/max(1, len(owned))))
	for _, r := range owned {
		step := max(1, (uint32(r.Size())+parts-1)/parts)
		for first := r.First; ; first += step {
			last := min(r.Last, first+step-1)
			rows = append(rows, session.KeyLoad{First: first, Last: last, Rate: m.between(first, last, hot)})
			if last == r.Last {
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

func (m *keyMeter) between(first, last uint32, except []uint32) float64 {
	sum := 0.0
	for key, rate := range m.rates {
		if key >= first && key <= last && !slices.Contains(except, key) {
			sum += rate
		}
	}
	return sum
}

func (m *keyMeter) hottest() []uint32 {
	keys := make([]uint32, 0, len(m.rates))
	for key := range m.rates {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint32) int { return cmp.Or(cmp.Compare(m.rates[b], m.rates[a]), cmp.Compare(a, b)) })
	return keys[:min(len(keys), maxHotKeys)]
}
