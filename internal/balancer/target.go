package balancer

import (
	"math"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	firstLatency   = time.Millisecond       // assumed before the first sample of a service
	sampleWeight   = 0.2                    // least weight of a new sample in the moving average
	sampleMemory   = 100 * time.Millisecond // quiet time after which a new sample weighs 63%
	floorDrift     = 0.01                   // share by which the least latency follows greater samples
	floorHalfLife  = 10 * time.Second       // quiet time that halves the remembered least latency
	doubtHalfLife  = 250 * time.Millisecond // quiet time that halves a bad estimate
	maxStrikes     = 4                      // doublings of doubtHalfLife while a target stays bad
	strikeFactor   = 3                      // times the service's typical latency that counts as bad
	failureFactor  = 50                     // times the service's typical latency that a failure counts as
	failureLatency = 100 * time.Millisecond // least latency that a failure counts as
	trialMargin    = 0.1                    // distance to the least latency at which a bad target is tried first
	reportHalfLife = 50 * time.Millisecond  // age that halves a door's report of its load
)

// target is what an entry knows of one door.
type target struct {
	router   fleet.Router
	weight   uint64
	inFlight int
	first    *Outstanding
	last     *Outstanding
	load     call.Load
	reported clock.Instant
	// latency is a moving average of observed latencies, floor the least one;
	// both include the link and are zero before the first sample.
	latency time.Duration
	floor   time.Duration
	seen    clock.Instant
	strikes int
}

func (t *target) add(o *Outstanding) {
	o.target, o.previous, o.next = t, t.last, nil
	if t.last != nil {
		t.last.next = o
	} else {
		t.first = o
	}
	t.last = o
	t.inFlight++
}

func (t *target) remove(o *Outstanding) {
	if o.previous != nil {
		o.previous.next = o.next
	} else {
		t.first = o.next
	}
	if o.next != nil {
		o.next.previous = o.previous
	} else {
		t.last = o.previous
	}
	t.inFlight--
}

// observe takes an observed latency. The longer the target was quiet, the more
// the sample weighs.
func (t *target) observe(now clock.Instant, latency, typical time.Duration) {
	if t.latency == 0 {
		t.latency, t.floor = latency, latency
	}
	weight := max(sampleWeight, 1-math.Exp(-float64(now.Sub(t.seen))/float64(sampleMemory)))
	t.latency += time.Duration(weight * float64(latency-t.latency))
	if latency < t.floor {
		t.floor = latency
	} else {
		t.floor += time.Duration(floorDrift * float64(latency-t.floor))
	}
	t.seen = now
	if latency <= strikeFactor*max(typical, t.floor) {
		t.strikes = 0
	} else {
		t.strikes = min(maxStrikes, t.strikes+1)
	}
}

// failed takes a call that the target did not answer or could not serve.
func (t *target) failed(now clock.Instant, typical time.Duration) {
	t.latency = max(t.latency, failureFactor*typical, failureLatency)
	if t.floor == 0 {
		t.floor = typical
	}
	t.seen = now
	t.strikes = min(maxStrikes, t.strikes+1)
}

// report takes the door's load.
func (t *target) report(now clock.Instant, load call.Load) {
	t.load, t.reported = load, now
}

// score estimates how long a new call would take, in nanoseconds. A door with
// all its places taken is weighed by what it bears. One with free places is
// weighed by what it bears when warm, so that a cold door gets its places
// filled and grows.
func (t *target) score(now clock.Instant, typical time.Duration) float64 {
	others := float64(max(0, t.load.InFlight+t.load.Queued-t.inFlight))
	waiting := float64(t.inFlight) + others*halving(now.Sub(t.reported), reportHalfLife)
	places := float64(t.limit())
	if waiting < places {
		places = max(places, float64(t.router.Upstream.Slots))
	}
	return t.expected(now, typical) * (1 + waiting/places)
}

// expected is the latency that a call is expected to have at an idle target.
// An estimate without new samples fades towards the least latency known, so
// that a target that was slow is tried again, once it comes near that latency
// before others that are as quick. A call that has been under way
// for longer than the estimate counts at once.
func (t *target) expected(now clock.Instant, typical time.Duration) float64 {
	quiet := now.Sub(t.seen)
	floor := max(float64(typical), float64(t.floor)*halving(quiet, floorHalfLife))
	latency := float64(typical)
	if t.latency > 0 {
		latency = float64(t.latency)
	}
	if latency > floor {
		latency = floor + (latency-floor)*halving(quiet, doubtHalfLife<<t.strikes)
	}
	if t.strikes > 0 && latency < floor*(1+trialMargin) {
		latency = floor * (1 - trialMargin)
	}
	if t.first != nil {
		latency = max(latency, float64(now.Sub(t.first.sent)))
	}
	return latency
}

// limit is how many requests the target's door runs at once.
func (t *target) limit() int {
	if t.load.Limit > 0 {
		return t.load.Limit
	}
	return max(1, t.router.Upstream.ColdSlots)
}

func halving(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
