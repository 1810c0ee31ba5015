package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

// supplyNewOwners revokes one range for each owner without any, so that an upstream that
// has joined gets work although nobody is overloaded. Each is the range with the least
// load of the owner with the most, since its keys are not served meanwhile. It reports
// whether it revoked any. A later plan grants them to the new owners.
func (p *rangePlan) supplyNewOwners() bool {
	supplied := false
	for _, newOwner := range p.owners {
		if newOwner.ranges > 0 {
			continue
		}
		donor := slices.MaxFunc(p.owners, func(a, b *rangeOwner) int {
			return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.ranges, b.ranges))
		})
		first, last, found := p.leastLoaded(donor)
		if !found {
			break
		}
		load := p.loads.Sum(first, last)
		p.revoke(first, last)
		donor.load -= load
		newOwner.load += load
		newOwner.ranges++
		supplied = true
	}
	return supplied
}

// leastLoaded returns the granted range of an owner with the least load, or the half of
// its only one with less load.
func (p *rangePlan) leastLoaded(o *rangeOwner) (first, last uint32, found bool) {
	var candidates [][2]uint32
	for i := range p.space.Ranges {
		if r := &p.space.Ranges[i]; r.Phase == fleet.ShardGranted && r.HeldBy(o.router, o.boot) {
			candidates = append(candidates, [2]uint32{r.First, r.Last})
		}
	}
	if len(candidates) == 1 {
		whole := candidates[0]
		if whole[0] == whole[1] || p.full() {
			return 0, 0, false
		}
		middle := whole[0] + (whole[1]-whole[0])/2
		candidates = [][2]uint32{{whole[0], middle}, {middle + 1, whole[1]}}
	}
	if len(candidates) == 0 {
		return 0, 0, false
	}
	best := slices.MinFunc(candidates, func(a, b [2]uint32) int {
		return cmp.Compare(p.loads.Sum(a[0], a[1]), p.loads.Sum(b[0], b[1]))
	})
	return best[0], best[1], true
}
