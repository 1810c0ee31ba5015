package balancer

import (
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// chooseReported returns the executor with the least estimated time to finish by load
// reports. It compares two random executors of the own data centre and one of others. If
// the own one has no room, or fewer than two available, it compares two of others. An
// executor of another data centre must be better by remoteShare of the typical latency. A
// factor on its whole estimate, as without reports, kept calls at home the longer, the
// longer they waited there: at 1.6 times the slots of a data centre, beside another one in
// half use, the median of a burst of 5 s was 312 ms with it and 280 ms without. An
// executor that has long been passed over is tried all the same, so that wrong or old
// figures do not exclude it for good.
func (t *Table) chooseReported(p *pool, now clock.Instant, local, remote []*executor, exclude []fleet.RouterID) *executor {
	p.updateOverflow(now, local, remote)
	candidates := [maxCompared]*executor{t.randomExecutor(local, nil, exclude), nil, t.randomExecutor(remote, nil, exclude), nil}
	candidates[1] = t.randomExecutor(local, candidates[0], exclude)
	if candidates[1] == nil || p.overflow.active {
		candidates[3] = t.randomExecutor(remote, candidates[2], exclude)
	}
	best := -1
	var least float64
	for i, candidate := range candidates {
		if candidate == nil {
			continue
		}
		estimate := candidate.estimate(now, p)
		if i >= 2 && !p.overflow.active {
			estimate += remoteShare * p.run(candidate)
		}
		t.compared[t.comparedCount] = Estimate{Router: candidate.router.ID, Milliseconds: estimate / float64(time.Millisecond)}
		t.comparedCount++
		if best < 0 || estimate < least {
			best, least = i, estimate
		}
	}
	if best < 0 {
		return nil
	}
	for i, candidate := range candidates[:2] {
		if candidate != nil && i != best && candidate.probeDue(now) {
			return candidate
		}
	}
	t.overflowed = best >= 2 && p.overflow.active
	return candidates[best]
}

// Overflowed reports whether the last Choose returned an executor of another data centre
// because the own one has no room.
func (t *Table) Overflowed() bool { return t.overflowed }

// updateOverflow compares the least wait of the own data centre with that of others. It
// usually ends at the first executor with a free slot.
func (p *pool) updateOverflow(now clock.Instant, local, remote []*executor) {
	own := leastWait(now, local, nil)
	if len(local) == 0 || len(remote) == 0 || p.overflow.idle(own) {
		p.overflow = overflow{at: now}
		return
	}
	p.overflow.update(now, own, leastWait(now, remote, p))
}

// leastWait returns the least wait among executors, in nanoseconds, plus their distances
// if a pool is given. Failing executors do not count. Those without a new report do not
// count in the own data centre, where a silent one would keep calls in a full data centre,
// and have no wait in others, which are called and report too seldom. Zero if none counts.
func leastWait(now clock.Instant, executors []*executor, p *pool) float64 {
	least := -1.0
	for _, e := range executors {
		wait, known := e.recentWait(now)
		if e.failing(now) || !known && p == nil {
			continue
		}
		total := float64(wait)
		if p != nil {
			total += p.distance(e)
		}
		if least < 0 || total < least {
			least = total
		}
		if least == 0 {
			return 0
		}
	}
	return max(0, least)
}
