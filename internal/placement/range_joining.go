package placement

import (
	"cmp"

	"endivespring/internal/fleet"
)

// joinFree merges adjacent free ranges: those without handovers if there are many ranges, and
// all if the owners may not hold that many. The next owner of a range without its handover
// begins without what the last one knew of the keys.
func (p *rangePlan) joinFree() {
	if p.full() {
		p.mergeFree(func(r *fleet.KeyRange) bool { return r.Handover == "" })
	}
	free, room := 0, 0
	for i := range p.space.Ranges {
		if p.space.Ranges[i].Phase == fleet.ShardFree {
			free++
		}
	}
	for _, o := range p.owners {
		room += max(0, fleet.MaxOwnerRanges-o.ranges)
	}
	if free > room {
		p.mergeFree(func(*fleet.KeyRange) bool { return true })
	}
}

// mergeFree merges adjacent free ranges that may be merged.
func (p *rangePlan) mergeFree(may func(r *fleet.KeyRange) bool) {
	merged := p.space.Ranges[:0]
	for _, r := range p.space.Ranges {
		if n := len(merged); n > 0 {
			last := &merged[n-1]
			if last.Phase == fleet.ShardFree && r.Phase == fleet.ShardFree && may(last) && may(&r) {
				last.Last, last.Epoch, last.Handover = r.Last, max(last.Epoch, r.Epoch), ""
				p.changed = true
				continue
			}
		}
		merged = append(merged, r)
	}
	p.space.Ranges = merged
}

// coarsen revokes granted ranges if owners have too many, or no room for the other ranges. It
// prefers ranges next to those, since a later plan can merge them. Otherwise free ranges between
// granted ones could not be granted.
func (p *rangePlan) coarsen() {
	if len(p.space.Ranges) <= fleet.MaxOwnerRanges {
		return
	}
	for o, granted := range p.grantedRanges() {
		for ; granted > fleet.MaxOwnerRanges; granted-- {
			if _, ok := p.revokeForJoin(func(r *fleet.KeyRange) bool { return r.HeldBy(o.router, o.boot) }, 0); !ok {
				break
			}
		}
	}
	for excess := p.excess(); excess > 0; {
		gain, ok := p.revokeForJoin(func(r *fleet.KeyRange) bool { return p.owners.ownerOf(r) != nil }, 1)
		if !ok {
			return
		}
		excess -= gain
	}
}

// excess returns the number of ranges that are free or being revoked, once adjacent ones are
// merged, less the number of ranges that the owners have room for.
func (p *rangePlan) excess() int {
	excess, unheld := 0, false
	for i := range p.space.Ranges {
		if granted := p.space.Ranges[i].Phase == fleet.ShardGranted; granted {
			unheld = false
		} else if !unheld {
			unheld = true
			excess++
		}
	}
	granted := p.grantedRanges()
	for _, o := range p.owners {
		excess -= max(0, fleet.MaxOwnerRanges-granted[o])
	}
	return excess
}

// revokeForJoin revokes the granted range that most neighbours without a holder can be merged
// with, the one with the least load among them. It returns the number of these neighbours, or
// false if no range that may be revoked has the least number of them.
func (p *rangePlan) revokeForJoin(may func(r *fleet.KeyRange) bool, least int) (neighbours int, ok bool) {
	var best *fleet.KeyRange
	order := func(r *fleet.KeyRange, n, bestCount int) int {
		return cmp.Or(cmp.Compare(n, bestCount), cmp.Compare(p.loads.Sum(best.First, best.Last), p.loads.Sum(r.First, r.Last)))
	}
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if r.Phase != fleet.ShardGranted || !may(r) {
			continue
		}
		if n := p.unheldNeighbours(i); n >= least && (best == nil || order(r, n, neighbours) > 0) {
			best, neighbours = r, n
		}
	}
	if best == nil {
		return 0, false
	}
	best.Phase, p.changed = fleet.ShardRevoking, true
	return neighbours, true
}

// unheldNeighbours returns how many of the ranges before and after a range are free or being
// revoked.
func (p *rangePlan) unheldNeighbours(i int) int {
	n := 0
	for _, j := range []int{i - 1, i + 1} {
		if j >= 0 && j < len(p.space.Ranges) && p.space.Ranges[j].Phase != fleet.ShardGranted {
			n++
		}
	}
	return n
}

// grantedRanges returns the numbers of ranges that are granted to the owners.
func (p *rangePlan) grantedRanges() map[*rangeOwner]int {
	granted := map[*rangeOwner]int{}
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if o := p.owners.ownerOf(r); o != nil && r.Phase == fleet.ShardGranted {
			granted[o]++
		}
	}
	return granted
}

// countRanges returns the number of ranges that an owner holds or is to release.
func (p *rangePlan) countRanges(o *rangeOwner) int {
	n := 0
	for i := range p.space.Ranges {
		if r := &p.space.Ranges[i]; r.Phase != fleet.ShardFree && r.HeldBy(o.router, o.boot) {
			n++
		}
	}
	return n
}
