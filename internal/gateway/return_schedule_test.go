package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// returnWorld is a server of 100 requests a second that takes a request if it can start it
// within 200 ms. Callers want an answer within 4 s, come back up to twice, and are refused
// with the time to come back that the test gives.
type returnWorld struct {
	now      clock.Instant
	busy     clock.Instant
	served   rateMeter
	due      map[clock.Instant][]*returningCaller
	perSlice map[clock.Instant]int
	refused  int
	again    int
	givenUp  int
	random   *rand.Rand
}

type returningCaller struct {
	arrived clock.Instant
	tries   int
}

const serverInterval = 10 * time.Millisecond

func (w *returnWorld) offer(c *returningCaller, after func(r returnRequest) time.Duration) {
	c.tries++
	w.busy = max(w.busy, w.now)
	if wait := w.busy.Sub(w.now); wait > 200*time.Millisecond {
		w.refused++
		if c.tries > 1 {
			w.again++
		}
		if c.tries > 2 {
			w.givenUp++
			return
		}
		at := w.now.Add(after(returnRequest{wait: wait, left: 4*time.Second - w.now.Sub(c.arrived), rate: w.served.rate(w.now), returning: c.tries > 1, random: w.random.Float64()}))
		at = at / clock.Instant(time.Millisecond) * clock.Instant(time.Millisecond)
		w.due[at] = append(w.due[at], c)
		w.perSlice[at/clock.Instant(returnSlice)]++
		return
	}
	w.busy = w.busy.Add(serverInterval)
	w.served.observe(w.now)
}

// burst runs 3 s at twice the rate that the server takes, between quiet times at half of it.
func (w *returnWorld) burst(after func(r returnRequest) time.Duration) {
	start := w.now
	for w.now < start.Add(12*time.Second) {
		since := w.now.Sub(start)
		every := 20 * time.Millisecond
		if since >= 2*time.Second && since < 5*time.Second {
			every = 5 * time.Millisecond
		}
		for _, c := range w.due[w.now] {
			w.offer(c, after)
		}
		if since%every == 0 {
			w.offer(&returningCaller{arrived: w.now}, after)
		}
		w.now = w.now.Add(time.Millisecond)
	}
}

func newReturnWorld() *returnWorld {
	return &returnWorld{now: clock.Instant(time.Hour), due: map[clock.Instant][]*returningCaller{}, perSlice: map[clock.Instant]int{}, random: rand.New(rand.NewPCG(1, 2))}
}

// most returns the largest number of callers that are told to come back in one slice.
func (w *returnWorld) most() int {
	most := 0
	for _, n := range w.perSlice {
		most = max(most, n)
	}
	return most
}

// TestBurstReturnsSpreadOut has a burst of 3 s at twice the rate that is served. Callers
// must not come back together, and must be refused again less often than with a random
// time within an objective of 600 ms, which sent most back into the burst.
func TestBurstReturnsSpreadOut(t *testing.T) {
	scheduled, random := newReturnWorld(), newReturnWorld()
	s := &returnSchedule{}
	scheduled.burst(func(r returnRequest) time.Duration { return s.reserve(scheduled.now, r) })
	random.burst(func(r returnRequest) time.Duration {
		return minRetryAfter + time.Duration(r.random*float64(600*time.Millisecond))
	})
	perSlice := int(returnSlice / serverInterval)
	assert.Assert(t, scheduled.most() <= perSlice+2, "%d callers in a slice", scheduled.most())
	assert.Assert(t, 10*scheduled.again <= 7*random.again, "%d refused again, %d at random", scheduled.again, random.again)
	assert.Assert(t, 10*scheduled.givenUp <= 6*random.givenUp, "%d gave up, %d at random", scheduled.givenUp, random.givenUp)
}

// TestReturnOrderAndBounds checks that callers refused again come before others, and that
// no time is below the least one, above the time left or before the reported wait.
func TestReturnOrderAndBounds(t *testing.T) {
	s, now := &returnSchedule{}, clock.Instant(time.Hour)
	request := returnRequest{wait: 300 * time.Millisecond, left: 4 * time.Second, rate: 100}
	var last time.Duration
	for range 40 {
		last = s.reserve(now, request)
		assert.Assert(t, last >= request.wait)
	}
	returning := request
	returning.returning = true
	assert.Assert(t, s.reserve(now, returning) < last-200*time.Millisecond)
	for range 1000 {
		assert.Assert(t, s.reserve(now, request) <= (returnSlices-1)*returnSlice)
	}
	for _, left := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 320 * time.Millisecond} {
		got := s.reserve(now, returnRequest{wait: 300 * time.Millisecond, left: left, random: 0.9})
		assert.Assert(t, got >= minRetryAfter && got <= max(minRetryAfter, left), "%v of %v", got, left)
	}
}

// BenchmarkReserveReturn measures a refusal while every slice of the schedule is full.
func BenchmarkReserveReturn(b *testing.B) {
	s, now := &returnSchedule{}, clock.Instant(time.Hour)
	b.ReportAllocs()
	for range b.N {
		s.reserve(now, returnRequest{left: 10 * time.Second, rate: 100, random: 0.5})
	}
}
