package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

const (
	// maxPieces bounds the pieces of the first grants of a service with fewer owners
	// than that, since a full view holds all of them.
	maxPieces = 1024
	// wholeShare is the load, as a share of the next owner's target, up to which a free
	// range is granted whole even if that owner lacks less.
	wholeShare = 0.25
)

// spreadFree grants the free ranges, the one with the most load first, to as many owners
// as possible. Every grant gets a new epoch above all earlier ones of the key space.
func (p *rangePlan) spreadFree() {
	if p.policy.Interleave > 0 && p.neverGranted() {
		p.grantPieces()
		return
	}
	p.joinFree()
	free := p.freeByLoad()
	for i := 0; i < len(free); i++ {
		r := p.space.Find(free[i])
		load := p.loads.Sum(r.First, r.Last)
		o := p.receiver(r, load)
		if o.full() {
			return
		}
		if most := max(o.lack(), wholeShare*o.target); load > maxOvershoot*most && p.maySplit(r) {
			if last := p.loads.PrefixEnd(r.First, r.Last, most); last < r.Last {
				p.space.Split(last + 1)
				r = p.space.Find(free[i])
				free = append(free, last+1)
			}
		}
		p.grantRange(r, o)
	}
}

// receiver returns the owner that gets a free range with the given load next. A busy key
// that the next in turn has no room for goes to the owner with the most. One that was moved
// lately does not go back: its earlier owner lacks load without it.
func (p *rangePlan) receiver(r *fleet.KeyRange, load float64) *rangeOwner {
	if from := p.loads.movedFrom(r.First, r.Last); from != "" {
		if others := p.owners.without(from); len(others) > 0 {
			return others.roomiest()
		}
	}
	o := p.owners.receiver()
	if o.capacity == 0 || load <= max(o.lack(), o.room()) {
		return o
	}
	return p.owners.roomiest()
}

// grantPieces cuts the key space into equal pieces, so that a dense region of keys falls on
// many owners, and grants them in turn. An owner gets pieces in proportion to its weight.
func (p *rangePlan) grantPieces() {
	pieces := min(min(p.policy.Interleave, maxRangesPerOwner)*len(p.owners), max(maxPieces, len(p.owners)), fleet.KeyCount)
	order := p.owners.alternating()
	total, credits := 0.0, make([]float64, len(order))
	for _, o := range order {
		total += o.weight
	}
	p.space.Ranges = make([]fleet.KeyRange, pieces)
	for i := range pieces {
		next := 0
		for j, o := range order {
			credits[j] += o.weight
			// Without the tolerance, rounding errors would change the order of
			// owners of equal weight.
			if credits[j] > credits[next]+total*1e-9 {
				next = j
			}
		}
		credits[next] -= total
		r := &p.space.Ranges[i]
		r.First, r.Last = uint32(i*fleet.KeyCount/pieces), uint32((i+1)*fleet.KeyCount/pieces-1)
		p.grantRange(r, order[next])
	}
}

// grantRange grants a free range under a new epoch.
func (p *rangePlan) grantRange(r *fleet.KeyRange, o *rangeOwner) {
	p.space.LastEpoch++
	o.load += p.loads.Sum(r.First, r.Last)
	o.ranges++
	o.received++
	*r = fleet.KeyRange{
		First: r.First, Last: r.Last, Phase: fleet.ShardGranted, Owner: o.router, Boot: o.boot, Epoch: p.space.LastEpoch, Handover: r.Handover,
	}
	p.changed = true
}

// freeByLoad returns the first keys of the free ranges, the range with the most load first.
func (p *rangePlan) freeByLoad() []uint32 {
	var free []uint32
	loads := map[uint32]float64{}
	for i := range p.space.Ranges {
		if r := &p.space.Ranges[i]; r.Phase == fleet.ShardFree {
			free = append(free, r.First)
			loads[r.First] = p.loads.Sum(r.First, r.Last)
		}
	}
	slices.SortStableFunc(free, func(a, b uint32) int { return cmp.Compare(loads[b], loads[a]) })
	return free
}
