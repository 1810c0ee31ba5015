package placement

import (
	"math"

	"endivespring/internal/fleet"
)

const (
	// maxRangesPerOwner bounds the ranges of a service, so that the answer that
	// lists those of one upstream stays short.
	maxRangesPerOwner = 24
	// overload is the share of its target that an owner may have before some of
	// its keys move.
	overload = 1.25
	// countNoise is how many standard deviations of a count of independent
	// requests an owner may have beyond that.
	countNoise = 2.0
	// pieceSlack is the factor by which a piece may exceed what its next owner
	// lacks.
	pieceSlack = 1.2
	// maxMoves is the number of pieces that move in one round. Each keeps its
	// keys from being served for about two heartbeats.
	maxMoves = 8
	// leastMove is the share of the target that a move must bring to be worth
	// the time in which its keys are not served.
	leastMove = 0.06
	// leastRate is the load, in requests a second, below which a service is not
	// balanced: what was counted is too little to tell.
	leastRate = 20.0
)

// balance asks pieces of load back from owners above their target, as much as
// others lack. A round of moves ends before the next one begins, so that each
// sees what the last one brought.
func (p *rangePlan) balance() {
	if p.load.Total() < leastRate || p.moving() {
		return
	}
	for range maxMoves {
		if len(p.space.Ranges) >= maxRangesPerOwner*len(p.owners) || !p.move() {
			return
		}
	}
}

// move asks one piece back from the owner that is furthest above its target and
// reports whether there was one.
func (p *rangePlan) move() bool {
	from, to := p.owners.extremes()
	if from == to || from.has <= overload*from.target+countNoise*math.Sqrt(from.target) {
		return false
	}
	amount := min(from.has-from.target, to.target-to.has)
	if amount <= 0 {
		return false
	}
	first, last, found := p.piece(from, amount)
	if !found {
		return false
	}
	p.space.Split(first)
	if last < fleet.Keys-1 {
		p.space.Split(last + 1)
	}
	for i := range p.space.Ranges {
		if r := &p.space.Ranges[i]; r.First >= first && r.Last <= last {
			r.Phase = fleet.ShardRevoking
		}
	}
	load := p.load.Of(first, last)
	from.has -= load
	to.has += load
	p.changed = true
	return true
}

// moving reports whether some keys have no owner that serves them.
func (p *rangePlan) moving() bool {
	for i := range p.space.Ranges {
		if p.space.Ranges[i].Phase != fleet.ShardGranted {
			return true
		}
	}
	return false
}

// piece returns the end of one of the owner's ranges that holds at most an
// amount of load, and most of it for its number of keys.
func (p *rangePlan) piece(from *rangeOwner, amount float64) (first, last uint32, found bool) {
	best := 0.0
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if p.owners.find(r) != from || r.Phase != fleet.ShardGranted {
			continue
		}
		head := p.load.Cut(r.First, r.Last, amount)
		tail := p.load.CutBack(r.First, r.Last, amount)
		for _, piece := range [][2]uint32{{r.First, head}, {tail, r.Last}} {
			load := p.load.Of(piece[0], piece[1])
			density := load / float64(piece[1]-piece[0]+1)
			if load <= amount*pieceSlack && load >= leastMove*from.target && density > best {
				first, last, found, best = piece[0], piece[1], true, density
			}
		}
	}
	return first, last, found
}
