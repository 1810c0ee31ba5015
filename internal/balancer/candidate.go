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
}

// Candidates returns the executors of a service among which Choose draws those that it
// compares. It changes nothing.
func (t *Table) Candidates(service string, now clock.Instant) []Candidate {
	p := t.pools[service]
	if p == nil {
		return nil
	}
	var all []Candidate
	local, remote := p.subset()
	for side, executors := range [2][]*executor{local, remote} {
		for _, e := range executors {
			all = append(all, t.describe(e, side == remoteSide, p.typicalLatency, now))
		}
	}
	return all
}

// Candidate returns what is known about the executor of a router, or false if the router is
// unknown. It changes nothing.
func (t *Table) Candidate(id fleet.RouterID, now clock.Instant) (Candidate, bool) {
	e := t.executors[id]
	if e == nil {
		return Candidate{}, false
	}
	typical := initialLatency
	if p := t.pools[e.router.Upstream.Service]; p != nil {
		typical = p.typicalLatency
	}
	return t.describe(e, t.side(e.router) == remoteSide, typical, now), true
}

// Policy returns the policy by which executors are chosen.
func (t *Table) Policy() Policy { return t.settings.Policy }

func (t *Table) describe(e *executor, remote bool, typical time.Duration, now clock.Instant) Candidate {
	score := e.score(now, typical)
	if remote {
		score *= remotePenalty
	}
	c := Candidate{
		Router: e.router, Remote: remote, Estimate: time.Duration(score), InFlight: e.inFlight,
		Load: e.load, Reported: e.loadAt != 0, Latency: e.latency, Outliers: e.outliers,
	}
	if c.Reported {
		c.Age = now.Sub(e.loadAt)
	}
	return c
}
