package placement

import "endivespring/internal/fleet"

const (
	// maxRangesPerOwner times the number of owners bounds the ranges of a
	// service, so that the heartbeat answer with the ranges of one upstream
	// stays short.
	maxRangesPerOwner = 24
	// overloadRatio is the ratio of load to target above which keys of an owner
	// move.
	overloadRatio = 1.25
	// overloadDeviations is the tolerance above overloadRatio for random
	// variation of the load, in standard deviations of a count of independent
	// requests.
	overloadDeviations = 2.0
	// maxOvershoot is the factor by which the load of a moved subrange may
	// exceed the load that its next owner lacks.
	maxOvershoot = 1.2
	// fullLoadRatio is the ratio of load to target up to which an owner takes busy keys
	// that bring more load than it lacks. It is below overloadRatio, so that they stay.
	fullLoadRatio = 1.2
	// minMoves and movesPerOwner bound the subranges that move in one round. The keys of
	// each are not served for about two heartbeats, and a hot region of keys must be
	// divided as soon among many owners as among few.
	minMoves      = 8
	movesPerOwner = 0.25
	// minMoveShare is the smallest load of a moved subrange, as a share of its
	// owner's target. A smaller gain is not worth the time in which the keys are
	// not served.
	minMoveShare = 0.06
	// minBalancedRate is the total load, in requests a second, below which a
	// service is not rebalanced: the counts are too small to be significant.
	minBalancedRate = 20.0
)

// rebalance revokes ranges for owners that lack load. A round starts only once the moves
// of the last one are complete, so that it sees their effect.
func (p *rangePlan) rebalance() {
	if p.inTransition() {
		return
	}
	if p.policy.spreads() && p.supplyNewOwners() {
		return
	}
	if p.policy.ByCapacity {
		p.relieve()
		return
	}
	p.balance()
}

// balance revokes subranges of overloaded owners, with as much load as
// underloaded owners lack.
func (p *rangePlan) balance() {
	if p.loads.Total() < minBalancedRate {
		return
	}
	for range max(minMoves, int(movesPerOwner*float64(len(p.owners)))) {
		if !p.policy.spreads() && p.full() || !p.moveSubrange() {
			return
		}
	}
}

// full reports whether the key space has as many ranges as it may have, so that none
// may be split.
func (p *rangePlan) full() bool { return len(p.space.Ranges) >= maxRangesPerOwner*len(p.owners) }

// inTransition reports whether any range is free or being revoked.
func (p *rangePlan) inTransition() bool {
	for i := range p.space.Ranges {
		if p.space.Ranges[i].Phase != fleet.ShardGranted {
			return true
		}
	}
	return false
}

// moveSubrange revokes one subrange of the most overloaded owner that has one to give, and
// reports whether it did. A later plan grants the subrange, after its release; this one
// counts its load for the most underloaded owner.
func (p *rangePlan) moveSubrange() bool {
	to := p.owners.mostUnderloaded()
	for _, from := range p.owners.overloaded() {
		if from == to {
			continue
		}
		if first, last, found := p.pickSubrange(from, to); found {
			p.revoke(first, last)
			amountMoved := p.loads.Sum(first, last)
			from.load -= amountMoved
			to.load += amountMoved
			return true
		}
	}
	return false
}

func (p *rangePlan) revoke(first, last uint32) {
	p.space.Split(first)
	if last < fleet.KeyCount-1 {
		p.space.Split(last + 1)
	}
	for i := range p.space.Ranges {
		if r := &p.space.Ranges[i]; r.First >= first && r.Last <= last {
			r.Phase = fleet.ShardRevoking
		}
	}
	p.changed = true
}

// pickSubrange returns a prefix or suffix of one of the granted ranges of from, with
// about the load that to lacks, or one with a few busy keys for which to still has room.
// It picks the one with the highest load per key, so that few keys move.
func (p *rangePlan) pickSubrange(from, to *rangeOwner) (first, last uint32, found bool) {
	amount := min(from.load-from.target, to.target-to.load)
	room := min(from.load-from.target, fullLoadRatio*to.target-to.load)
	if max(amount*maxOvershoot, room) < minMoveShare*from.target || amount <= 0 && room <= 0 {
		return 0, 0, false
	}
	best := 0.0
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if r.Phase != fleet.ShardGranted || !r.HeldBy(from.router, from.boot) {
			continue
		}
		head := p.loads.PrefixEnd(r.First, r.Last, amount)
		tail := p.loads.SuffixStart(r.First, r.Last, amount)
		for _, subrange := range [][2]uint32{{r.First, head}, {tail, r.Last}} {
			if p.full() && (subrange[0] > r.First || subrange[1] < r.Last) {
				continue
			}
			load := p.loads.Sum(subrange[0], subrange[1])
			density := load / float64(subrange[1]-subrange[0]+1)
			if load <= max(amount*maxOvershoot, room) && load >= minMoveShare*from.target && density > best {
				first, last, found, best = subrange[0], subrange[1], true, density
			}
		}
	}
	return first, last, found
}
