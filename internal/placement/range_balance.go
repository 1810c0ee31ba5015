package placement

import (
	"math"

	"endivespring/internal/fleet"
)

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
	// maxMovesPerRound bounds the subranges that move in one round. The keys of
	// each are not served for about two heartbeats.
	maxMovesPerRound = 8
	// minMoveShare is the smallest load of a moved subrange, as a share of its
	// owner's target. A smaller gain is not worth the time in which the keys are
	// not served.
	minMoveShare = 0.06
	// minBalancedRate is the total load, in requests a second, below which a
	// service is not rebalanced: the counts are too small to be significant.
	minBalancedRate = 20.0
)

// balance revokes subranges of overloaded owners, with as much load as
// underloaded owners lack. A round starts only once the moves of the last one
// are complete, so that it sees their effect.
func (p *rangePlan) balance() {
	if p.loads.Total() < minBalancedRate || p.inTransition() {
		return
	}
	for range maxMovesPerRound {
		if len(p.space.Ranges) >= maxRangesPerOwner*len(p.owners) || !p.moveSubrange() {
			return
		}
	}
}

// moveSubrange revokes one subrange of the most overloaded owner and reports
// whether it did. A later plan grants the subrange, after its release; this one
// counts its load for the most underloaded owner.
func (p *rangePlan) moveSubrange() bool {
	from, to := p.owners.extremes()
	if from == to || from.load <= overloadRatio*from.target+overloadDeviations*math.Sqrt(from.target) {
		return false
	}
	wanted := min(from.load-from.target, to.target-to.load)
	if wanted <= 0 {
		return false
	}
	first, last, found := p.pickSubrange(from, wanted)
	if !found {
		return false
	}
	p.space.Split(first)
	if last < fleet.KeyCount-1 {
		p.space.Split(last + 1)
	}
	for i := range p.space.Ranges {
		if r := &p.space.Ranges[i]; r.First >= first && r.Last <= last {
			r.Phase = fleet.ShardRevoking
		}
	}
	amountMoved := p.loads.Sum(first, last)
	from.load -= amountMoved
	to.load += amountMoved
	p.changed = true
	return true
}

// inTransition reports whether any range is free or being revoked.
func (p *rangePlan) inTransition() bool {
	for i := range p.space.Ranges {
		if p.space.Ranges[i].Phase != fleet.ShardGranted {
			return true
		}
	}
	return false
}

// pickSubrange returns a prefix or suffix of one of the owner's granted ranges
// with about the given load. It picks the one with the highest load per key, so
// that few keys move.
func (p *rangePlan) pickSubrange(from *rangeOwner, amount float64) (first, last uint32, found bool) {
	best := 0.0
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if p.owners.ownerOf(r) != from || r.Phase != fleet.ShardGranted {
			continue
		}
		head := p.loads.PrefixEnd(r.First, r.Last, amount)
		tail := p.loads.SuffixStart(r.First, r.Last, amount)
		for _, subrange := range [][2]uint32{{r.First, head}, {tail, r.Last}} {
			load := p.loads.Sum(subrange[0], subrange[1])
			density := load / float64(subrange[1]-subrange[0]+1)
			if load <= amount*maxOvershoot && load >= minMoveShare*from.target && density > best {
				first, last, found, best = subrange[0], subrange[1], true, density
			}
		}
	}
	return first, last, found
}
