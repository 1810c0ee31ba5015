package balancer

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const linkCost = 1.25 // how much better a door in another data centre must be

// Choose returns a door of a service that is not excluded, or false if there
// is none.
func (t *Table) Choose(service string, now clock.Instant, exclude []fleet.RouterID) (fleet.Router, bool) {
	p := t.pools[service]
	if p == nil {
		return fleet.Router{}, false
	}
	local, remote := p.subset()
	t.compared = 0
	var best *target
	switch t.settings.Policy {
	case RoundRobin:
		best = p.next(local, remote, exclude)
	case TwoChoices:
		best = t.fewer(local, remote, exclude)
	default:
		best = t.better(p, now, local, remote, exclude)
	}
	if best == nil {
		return fleet.Router{}, false
	}
	return best.router, true
}

// better returns the door with the least estimated finish time among two random
// ones of the own data centre and one or two of others. Observed latencies
// include the link, so another data centre wins only if it is worth the way.
func (t *Table) better(p *pool, now clock.Instant, local, remote []*target, exclude []fleet.RouterID) *target {
	first := t.pick(local, nil, exclude)
	candidates := [mostCompared]*target{first, t.pick(local, first, exclude)}
	candidates[2] = t.pick(remote, nil, exclude)
	if candidates[1] == nil {
		candidates[3] = t.pick(remote, candidates[2], exclude)
	}
	var best *target
	var least float64
	for i, candidate := range candidates {
		if candidate == nil {
			continue
		}
		score := candidate.score(now, p.typical)
		if i >= 2 {
			score *= linkCost
		}
		t.estimates[t.compared] = Estimate{Router: candidate.router.ID, Milliseconds: score / float64(time.Millisecond)}
		t.compared++
		if best == nil || score < least {
			best, least = candidate, score
		}
	}
	return best
}

// Considered returns the doors that the last Choose compared.
func (t *Table) Considered() []Estimate { return slices.Clone(t.estimates[:t.compared]) }

func (t *Table) pick(doors []*target, other *target, exclude []fleet.RouterID) *target {
	if len(doors) == 0 {
		return nil
	}
	return open(doors, t.random.IntN(len(doors)), other, exclude)
}

// fewer returns the one of two random doors with fewer calls of this entry.
func (t *Table) fewer(local, remote []*target, exclude []fleet.RouterID) *target {
	all := slices.Concat(local, remote)
	first := t.pick(all, nil, exclude)
	second := t.pick(all, first, exclude)
	if second != nil && second.inFlight < first.inFlight {
		return second
	}
	return first
}

// next returns the next door in turn that has fewer calls of this entry than
// slots.
func (p *pool) next(local, remote []*target, exclude []fleet.RouterID) *target {
	all := slices.Concat(local, remote)
	for range all {
		p.turn++
		candidate := all[p.turn%len(all)]
		if !slices.Contains(exclude, candidate.router.ID) && candidate.inFlight < max(1, candidate.router.Upstream.Slots) {
			return candidate
		}
	}
	return nil
}
