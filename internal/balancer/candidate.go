package balancer

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// Candidate is an executor that may be chosen, with its estimate and what this rests on.
type Candidate struct {
	Router fleet.Router
	// Remote is set if the executor is in another data centre.
	Remote bool
	// Estimate is the estimated time to finish, including the penalty for another data
	// centre.
	Estimate time.Duration
	// InFlight counts the calls of this gateway that are in flight at the executor.
	InFlight int
	// Load is the last report, and Age the time since; Reported is unset if there is none.
	Load     call.Load
	Age      time.Duration
	Reported bool
	// Latency is the average latency that this gateway observed, or zero.
	Latency time.Duration
	// Outliers counts consecutive outliers and failures.
	Outliers int
	// What follows is set with load reports only.

	// Failing is set if the executor has just failed, and Full if a call cannot start in
	// time there. Known is set if the report is recent enough to refuse a call by it.
	Failing, Full, Known bool
}

// Candidates returns the executors of a service among which Choose draws those that it
// compares, and whether a call with a limit can start there. It changes nothing.
func (t *Table) Candidates(service string, now clock.Instant, limit StartLimit) []Candidate {
	p := t.pools[service]
	if p == nil {
		return nil
	}
	var all []Candidate
	local, remote := p.subset()
	for side, executors := range [2][]*executor{local, remote} {
		for _, e := range executors {
			all = append(all, t.describe(e, side == remoteSide, p, now, limit))
		}
	}
	return all
}

// Candidate returns what is known about the executor of a router, or false if the router is
// unknown. It changes nothing.
func (t *Table) Candidate(id fleet.RouterID, now clock.Instant, limit StartLimit) (Candidate, bool) {
	e := t.executors[id]
	if e == nil {
		return Candidate{}, false
	}
	return t.describe(e, t.side(e.router) == remoteSide, t.pools[e.router.Upstream.Service], now, limit), true
}

func (t *Table) describe(e *executor, remote bool, p *pool, now clock.Instant, limit StartLimit) Candidate {
	c := Candidate{
		Router: e.router, Remote: remote, Estimate: time.Duration(t.estimateOf(e, remote, p, now)), InFlight: e.inFlight,
		Load: e.load, Reported: e.loadAt != 0, Latency: e.latency, Outliers: e.outliers,
	}
	if c.Reported {
		c.Age = now.Sub(e.loadAt)
	}
	if t.settings.Reports {
		wait, age, known := e.admissionWait(now, p)
		c.Failing, c.Known, c.Full = e.failing(now), known, now.Add(wait) > limit.By || known && e.queueFull(age, limit.Queue)
	}
	return c
}

// estimateOf returns the estimate with which an executor is compared.
func (t *Table) estimateOf(e *executor, remote bool, p *pool, now clock.Instant) float64 {
	if t.settings.Reports && t.settings.Policy == Estimated {
		estimate := e.estimate(now, p)
		if remote && !p.overflow.active {
			estimate += remoteShare * p.run(e)
		}
		return estimate
	}
	estimate := e.score(now, p.typicalLatency)
	if remote {
		estimate *= remotePenalty
	}
	return estimate
}
