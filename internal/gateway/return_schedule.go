package gateway

import (
	"time"

	"endivespring/internal/clock"
)

const (
	returnSlice  = 50 * time.Millisecond // resolution of the times at which callers come back
	returnSlices = 60                    // slices that callers are spread over, 3 s in all
	// firstShare is the share of the service rate that requests refused for the first time
	// may take. The rest is left to those that come back and are refused again, whose
	// objectives have stood for longer.
	firstShare = 0.75
)

// returnSchedule holds how many refused callers are due back in each slice of the next 3 s.
type returnSchedule struct {
	counts [returnSlices]uint32
	// first is the number of the present slice since the clock's origin. Slice i is at index
	// i modulo returnSlices.
	first int64
}

// reserve returns when a refused caller is to come back: in the first slice after the wait
// in which fewer callers are due than the service rate allows, or at a random time if
// there is none. It is at most a third of the time left, since callers wait no longer. The
// times begin at half of that at the latest, so that callers can always be spread.
func (s *returnSchedule) reserve(now clock.Instant, r returnRequest) time.Duration {
	s.advance(now)
	latest := min(r.left/3, (returnSlices-1)*returnSlice)
	earliest := min(max(minRetryAfter, r.wait), latest/2)
	if r.left/3 < minRetryAfter {
		return earliest + time.Duration(r.random*float64(latest-earliest))
	}
	room := r.rate * returnSlice.Seconds()
	if !r.returning {
		room *= firstShare
	}
	credit := 0.0
	if s.counts == [returnSlices]uint32{} {
		credit = r.credit
	}
	end := sliceOf(now.Add(latest))
	for i := sliceOf(now.Add(earliest)); i <= end; i++ {
		credit = max(0, credit+room-float64(s.counts[i%returnSlices]))
		if credit >= 1 {
			s.counts[i%returnSlices]++
			from := clock.Instant(i * int64(returnSlice)).Sub(now)
			to := min(from+returnSlice, latest)
			from = max(from, earliest)
			return from + time.Duration(r.random*float64(to-from))
		}
	}
	return earliest + time.Duration(r.random*float64(latest-earliest))
}

// advance drops the counts of slices that have passed.
func (s *returnSchedule) advance(now clock.Instant) {
	present := sliceOf(now)
	for ; s.first < present; s.first++ {
		if present-s.first > returnSlices {
			s.first, s.counts = present-1, [returnSlices]uint32{}
			continue
		}
		s.counts[s.first%returnSlices] = 0
	}
}

func sliceOf(at clock.Instant) int64 { return int64(at) / int64(returnSlice) }
