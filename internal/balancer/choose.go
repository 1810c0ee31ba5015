package balancer

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// remotePenalty multiplies the estimate of an executor in another data centre, which is
// preferred to a local one only if its own estimate is better by more than this factor.
const remotePenalty = 1.25

// Choose returns the router of an eligible executor of a service that is not excluded,
// or false if there is none.
func (t *Table) Choose(service string, now clock.Instant, exclude []fleet.RouterID) (fleet.Router, bool) {
	p := t.pools[service]
	if p == nil {
		return fleet.Router{}, false
	}
	local, remote := p.subset()
	t.comparedCount, t.overflowed = 0, false
	var best *executor
	switch {
	case t.settings.Policy == RoundRobin:
		best = p.chooseRoundRobin(local, remote, exclude)
	case t.settings.Policy == TwoChoices:
		best = t.chooseFewerCalls(local, remote, exclude)
	case t.settings.Reports:
		best = t.chooseReported(p, now, local, remote, exclude)
	default:
		best = t.chooseEstimated(p, now, local, remote, exclude)
	}
	if best == nil {
		return fleet.Router{}, false
	}
	return best.router, true
}

// chooseEstimated returns the executor with the least estimated time to finish (power of
// two choices). It compares two random executors of the own data centre and one of
// others; if the own one has fewer than two available, it compares two of others.
// Observed latencies include the link, so an executor in another data centre wins only
// if it is faster in spite of the distance.
func (t *Table) chooseEstimated(p *pool, now clock.Instant, local, remote []*executor, exclude []fleet.RouterID) *executor {
	first := t.randomExecutor(local, nil, exclude)
	candidates := [maxCompared]*executor{first, t.randomExecutor(local, first, exclude)}
	candidates[2] = t.randomExecutor(remote, nil, exclude)
	if candidates[1] == nil {
		candidates[3] = t.randomExecutor(remote, candidates[2], exclude)
	}
	var best *executor
	var least float64
	for i, candidate := range candidates {
		if candidate == nil {
			continue
		}
		score := candidate.score(now, p.typicalLatency)
		if i >= 2 {
			score *= remotePenalty
		}
		t.compared[t.comparedCount] = Estimate{Router: candidate.router.ID, Milliseconds: score / float64(time.Millisecond)}
		t.comparedCount++
		if best == nil || score < least {
			best, least = candidate, score
		}
	}
	return best
}

// Compared returns the executors that the last Choose compared. It is empty under the
// baseline policies.
func (t *Table) Compared() []Estimate { return slices.Clone(t.compared[:t.comparedCount]) }

// randomExecutor returns a random executor that is neither excluded nor the other
// choice, or nil.
func (t *Table) randomExecutor(executors []*executor, other *executor, exclude []fleet.RouterID) *executor {
	if len(executors) == 0 {
		return nil
	}
	return firstAvailable(executors, t.random.IntN(len(executors)), other, exclude)
}

// chooseFewerCalls returns the one of two random executors to which this gateway has
// fewer calls in flight.
func (t *Table) chooseFewerCalls(local, remote []*executor, exclude []fleet.RouterID) *executor {
	all := slices.Concat(local, remote)
	first := t.randomExecutor(all, nil, exclude)
	second := t.randomExecutor(all, first, exclude)
	if second != nil && second.inFlight < first.inFlight {
		return second
	}
	return first
}

// chooseRoundRobin returns the next executor in turn to which this gateway has fewer
// calls in flight than its upstream has slots.
func (p *pool) chooseRoundRobin(local, remote []*executor, exclude []fleet.RouterID) *executor {
	all := slices.Concat(local, remote)
	for range all {
		p.roundRobinTurn++
		candidate := all[p.roundRobinTurn%len(all)]
		if !slices.Contains(exclude, candidate.router.ID) && candidate.inFlight < max(1, candidate.router.Upstream.Slots) {
			return candidate
		}
	}
	return nil
}
