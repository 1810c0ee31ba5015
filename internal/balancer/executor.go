package balancer

import (
	"math"
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	initialLatency       = time.Millisecond       // typical latency of a service before its first sample
	minSampleWeight      = 0.2                    // minimum weight of a new sample in the moving average
	sampleTimeConstant   = 100 * time.Millisecond // time without samples after which a new one weighs 63%
	minLatencyDrift      = 0.01                   // weight of a higher sample in minLatency
	minLatencyHalfLife   = 10 * time.Second       // time without samples that halves minLatency
	penaltyHalfLife      = 250 * time.Millisecond // time without samples that halves the excess of an estimate over its baseline
	maxOutliers          = 4                      // limit of consecutive outliers, each of which doubles penaltyHalfLife
	outlierFactor        = 3                      // an outlier exceeds this multiple of the service's typical latency and of the executor's own minimum
	failureLatencyFactor = 50                     // a failure counts as this multiple of the service's typical latency
	minFailureLatency    = 100 * time.Millisecond // minimum latency that a failure counts as
	probeMargin          = 0.1                    // an outlier is probed once its estimate is within this share of the baseline
	loadReportHalfLife   = 50 * time.Millisecond  // age that halves the weight of a load report
)

// executor is what a gateway knows about the executor of one router.
type executor struct {
	router fleet.Router
	// hash is the rendezvous hash of gateway and executor.
	hash     uint64
	inFlight int
	// oldest and newest are the ends of the list of calls in flight.
	oldest *Outstanding
	newest *Outstanding
	// load is the last report, received at loadAt.
	load   call.Load
	loadAt clock.Instant
	// latency is a moving average of observed latencies, minLatency their minimum,
	// which drifts towards higher ones. Both include the link and are zero before the
	// first sample.
	latency    time.Duration
	minLatency time.Duration
	observedAt clock.Instant
	// outliers counts consecutive outliers and failures, up to maxOutliers.
	outliers int
	// What follows is used with load reports only.

	// sentSince is the number of calls that the report cannot include: those sent since
	// loadAt, and those that were on the link at the time. lastSent is when the last one was.
	sentSince         int
	lastSent          clock.Instant
	dataCentreLatency *dataCentreLatency
	// latencyRatio is a moving average of latencies relative to their estimates.
	latencyRatio float64
	// failures counts consecutive failures, up to maxOutliers; the last was at failedAt.
	failures int
	failedAt clock.Instant
	// probes counts how often the executor was passed over because of its reports.
	probes int
	// refusalsSinceProbe counts the calls refused because of its reports since one was sent.
	refusalsSinceProbe int
}

func (e *executor) addCall(o *Outstanding) {
	o.executor, o.previous, o.next = e, e.newest, nil
	if e.newest != nil {
		e.newest.next = o
	} else {
		e.oldest = o
	}
	e.newest = o
	e.inFlight++
	e.sentSince++
	e.lastSent = o.sent
}

func (e *executor) removeCall(o *Outstanding) {
	if o.previous != nil {
		o.previous.next = o.next
	} else {
		e.oldest = o.next
	}
	if o.next != nil {
		o.next.previous = o.previous
	} else {
		e.newest = o.previous
	}
	e.inFlight--
}

// observeLatency records the latency of a call. The longer there was no sample, the more
// this one weighs.
func (e *executor) observeLatency(now clock.Instant, latency, typical time.Duration) {
	if e.latency == 0 {
		e.latency, e.minLatency = latency, latency
	}
	weight := max(minSampleWeight, 1-math.Exp(-float64(now.Sub(e.observedAt))/float64(sampleTimeConstant)))
	e.latency += time.Duration(weight * float64(latency-e.latency))
	if latency < e.minLatency {
		e.minLatency = latency
	} else {
		e.minLatency += time.Duration(minLatencyDrift * float64(latency-e.minLatency))
	}
	e.observedAt = now
	if latency <= outlierFactor*max(typical, e.minLatency) {
		e.outliers = 0
	} else {
		e.outliers = min(maxOutliers, e.outliers+1)
	}
}

// observeFailure records a call that the executor did not answer or could not serve, as
// a high latency.
func (e *executor) observeFailure(now clock.Instant, typical time.Duration) {
	e.latency = max(e.latency, failureLatencyFactor*typical, minFailureLatency)
	if e.minLatency == 0 {
		e.minLatency = typical
	}
	e.observedAt = now
	e.outliers = min(maxOutliers, e.outliers+1)
}

func (e *executor) updateLoad(now clock.Instant, load call.Load) {
	e.load, e.loadAt, e.sentSince = load, now, 0
}

// keepUnreported counts the calls in flight that are younger than the link's round trip. The
// executor had not received them when it made the report that has just arrived.
func (e *executor) keepUnreported(now clock.Instant, roundTrip time.Duration) {
	for o := e.newest; o != nil && now.Sub(o.sent) < roundTrip; o = o.previous {
		e.sentSince++
	}
}

// score estimates how long a new call would take, in nanoseconds: the expected latency
// times one plus the calls per unit of capacity. Calls of other gateways are known from
// the load report and fade with its age. An executor without a free slot is rated by its
// current limit. One with free slots is rated by its warm capacity, so that a cold
// executor is filled up and its limit can grow.
func (e *executor) score(now clock.Instant, typical time.Duration) float64 {
	otherCalls := float64(max(0, e.load.InFlight+e.load.Queued-e.inFlight))
	calls := float64(e.inFlight) + otherCalls*decay(now.Sub(e.loadAt), loadReportHalfLife)
	capacity := float64(e.limit())
	if calls < capacity {
		capacity = max(capacity, float64(e.router.Upstream.Slots))
	}
	return e.expectedLatency(now, typical) * (1 + calls/capacity)
}

// expectedLatency returns the latency expected of a call at an idle executor. Without new
// samples the estimate decays towards a baseline: the service's typical latency or the
// executor's own minimum, whichever is greater. An outlier whose estimate has come within
// probeMargin of the baseline is rated below it, so that it is probed before executors
// that are as fast. A call that has been in flight for longer than the estimate raises it
// at once, before its answer.
func (e *executor) expectedLatency(now clock.Instant, typical time.Duration) float64 {
	idle := now.Sub(e.observedAt)
	baseline := max(float64(typical), float64(e.minLatency)*decay(idle, minLatencyHalfLife))
	latency := float64(typical)
	if e.latency > 0 {
		latency = float64(e.latency)
	}
	if latency > baseline {
		latency = baseline + (latency-baseline)*decay(idle, penaltyHalfLife<<e.outliers)
	}
	if e.outliers > 0 && latency < baseline*(1+probeMargin) {
		latency = baseline * (1 - probeMargin)
	}
	if e.oldest != nil {
		latency = max(latency, float64(now.Sub(e.oldest.sent)))
	}
	return latency
}

// limit is the number of requests that the executor runs at once: the reported limit,
// or the upstream's cold capacity before the first report.
func (e *executor) limit() int {
	if e.load.Limit > 0 {
		return e.load.Limit
	}
	return max(1, e.router.Upstream.ColdSlots)
}

// decay returns the factor by which a value with the given half-life decays.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
