package balancer

import (
	"math"
	"time"

	"endivespring/internal/clock"
)

const (
	// waitReportAge is the age up to which the requests in a report are counted.
	// Executors report at least once a second to gateways that call them. The run time
	// of a report is used for longer, up to runReportAge: a few latencies of a gateway's
	// own say less than the mean over the calls of all.
	waitReportAge = 1500 * time.Millisecond
	runReportAge  = 10 * time.Second
	// admissionReportAge is the age up to which a report is used to refuse requests.
	admissionReportAge = 300 * time.Millisecond
	// reportPause is how long a full executor sends no report if its wait does not change
	// much. The queue of a full executor is filled up again as it moves, so that the wait
	// does not shrink with the age of a report before.
	reportPause      = 200 * time.Millisecond
	slowdownHalfLife = 200 * time.Millisecond // age that halves a reported slowdown
	// runningWeight is the share of a run time that an upstream whose slots are all in
	// use takes longer. It makes the emptier of two executors with free slots win.
	runningWeight = 0.25
	remoteShare   = 0.25 // share of the run time that another data centre costs before its distance is known
	// latencyRatioWeight is the weight of a sample in executor.latencyRatio. With run times whose
	// coefficient of variation is 0.8, latencyRatio then has a standard deviation of 0.13.
	latencyRatioWeight   = 0.05
	minLatencyRatio      = 1.5 // ratio below which it is taken for chance
	maxLatencyRatio      = 50  // limit of one sample of latencyRatio
	latencyRatioHalfLife = 2 * time.Second
	failedTime           = time.Second // time after a failure during which an executor is not counted on to run requests
	probeInterval        = time.Second // time without calls after which an executor that is passed over is tried
	probeShare           = 16          // one request in so many is sent although the reports speak against it
)

// reportAge returns the age of the last report, or false if there is none.
func (e *executor) reportAge(now clock.Instant) (time.Duration, bool) {
	return now.Sub(e.loadAt), e.loadAt != 0 && e.load.Limit > 0 && e.load.Latency > 0
}

// slowness returns the stated slowdown, which decays towards 1 with the age of its report.
// The upstream need not state one.
func (e *executor) slowness(age time.Duration) float64 {
	if e.load.Slowdown <= 0 {
		return 1
	}
	return 1 + (e.load.Slowdown-1)*decay(age, slowdownHalfLife)
}

// reportedRun returns the run time to expect, in nanoseconds. The reported run time is the
// mean of the last ten or so runs and follows the phases of a VM only late, so that it is
// multiplied by the slowdown: a trial found two thirds of the error of the mean alone.
func (e *executor) reportedRun(age time.Duration) float64 {
	return float64(e.load.Latency) * e.slowness(age)
}

// reportedWait returns the reported wait under the slowdown, less the time since the next
// report was due. Executors derive the wait from the mean run time.
func (e *executor) reportedWait(age time.Duration) float64 {
	return max(0, float64(e.load.ExpectedWait())*e.slowness(age)-float64(max(0, age-reportPause)))
}

// wait returns how long a call waits for a slot, in nanoseconds: the reported wait, and
// that for the calls of this gateway since then for which no slot was free.
func (e *executor) wait(age time.Duration) float64 {
	free := max(0, e.load.Limit-e.load.InFlight)
	later := float64(max(0, e.sentSince-free)) * e.reportedRun(age) / float64(e.load.Limit)
	return e.reportedWait(age) + later
}

// reportedEstimate returns how long a new call is expected to take according to the
// executor's last report, in nanoseconds, or zero without a report that is new enough.
func (e *executor) reportedEstimate(now clock.Instant, p *pool) float64 {
	age, ok := e.reportAge(now)
	if !ok || age > runReportAge {
		return 0
	}
	run, limit := e.reportedRun(age), float64(e.load.Limit)
	if age > waitReportAge {
		return run*(1+float64(e.inFlight)/limit) + p.distance(e)
	}
	running := runningWeight * min(1, float64(e.load.InFlight)/limit)
	return run*(1+running+float64(e.sentSince)/limit) + e.reportedWait(age) + p.distance(e)
}

// estimate returns how long a new call is expected to take, in nanoseconds, from the
// executor's report if it has one, with corrections from what this gateway has observed.
func (e *executor) estimate(now clock.Instant, p *pool) float64 {
	estimate := e.reportedEstimate(now, p)
	if estimate == 0 {
		return e.score(now, p.typicalLatency)
	}
	if ratio := 1 + (e.latencyRatio-1)*decay(now.Sub(e.observedAt), latencyRatioHalfLife); ratio > minLatencyRatio {
		estimate *= ratio
	}
	if e.failures > 0 {
		penalty := max(failureLatencyFactor*float64(p.typicalLatency), float64(minFailureLatency))
		estimate += penalty * decay(now.Sub(e.failedAt), penaltyHalfLife<<e.failures)
	}
	if e.oldest != nil {
		estimate = max(estimate, float64(now.Sub(e.oldest.sent)))
	}
	return estimate
}

// observeLatencyRatio compares a latency with the estimate made when the call was sent.
func (e *executor) observeLatencyRatio(estimate float64, latency time.Duration) {
	if estimate > 0 {
		e.latencyRatio += latencyRatioWeight * (math.Min(maxLatencyRatio, float64(latency)/estimate) - e.latencyRatio)
	}
}

// probeDue counts that another executor was preferred, and reports whether this one is
// to be tried all the same: it has had no call for probeInterval and has not just failed.
// A gateway gets no reports of executors that it does not call, and a mean of few run
// times may be far too high.
func (e *executor) probeDue(now clock.Instant) bool {
	if now.Sub(e.lastSent) < probeInterval || e.failing(now) {
		return false
	}
	e.probes++
	return e.probes >= probeShare
}
