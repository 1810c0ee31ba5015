package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"

	"endivespring/internal/fleet"
)

// rangeOwnerList is the eligible upstreams of one ranged service, sorted by
// router ID.
type rangeOwnerList []*rangeOwner

// eligibleRangeOwners returns the upstreams of a service that may be granted
// ranges of keys.
func eligibleRangeOwners(view *fleet.View, service string, loads *KeyLoads, policy Policy) rangeOwnerList {
	var owners rangeOwnerList
	mean := loads.meanRunTime()
	for _, router := range view.Routers {
		if !router.Serves(service) || !view.Eligible(router) {
			continue
		}
		boot, slots := router.Upstream.Boot, max(1, router.Upstream.Slots)
		o := &rangeOwner{router: router.ID, boot: boot, dataCentre: router.DataCentre, weight: float64(slots) * loads.speed(boot, mean)}
		if policy.ByCapacity && mean > 0 {
			o.capacity = loads.capacity(boot, slots, mean)
			o.weight = o.capacity
		}
		owners = append(owners, o)
	}
	slices.SortFunc(owners, func(a, b *rangeOwner) int { return cmp.Compare(a.router, b.router) })
	return owners
}

// ownerOf returns the owner of a range, or nil if the range is free or its
// owner is not eligible.
func (l rangeOwnerList) ownerOf(r *fleet.KeyRange) *rangeOwner {
	i, ok := slices.BinarySearchFunc(l, r.Owner, func(o *rangeOwner, id fleet.RouterID) int { return cmp.Compare(o.router, id) })
	if !ok || !r.HeldBy(l[i].router, l[i].boot) {
		return nil
	}
	return l[i]
}

// mostUnderloaded returns the owner whose load is furthest below its target, by
// difference.
func (l rangeOwnerList) mostUnderloaded() *rangeOwner {
	return slices.MinFunc(l, func(a, b *rangeOwner) int { return cmp.Compare(a.load-a.target, b.load-b.target) })
}

// withRoom returns the owners that may hold another range.
func (l rangeOwnerList) withRoom() rangeOwnerList {
	return slices.DeleteFunc(slices.Clone(l), func(o *rangeOwner) bool { return o.full() })
}

// overloaded returns the owners whose load is well above their target, the highest ratio
// of load to target first. One request a second is added to both sides of the ratio, so
// that it is defined for a target of zero and small loads weigh little.
func (l rangeOwnerList) overloaded() []*rangeOwner {
	var owners []*rangeOwner
	for _, o := range l {
		if o.load > overloadRatio*o.target+overloadDeviations*math.Sqrt(o.target) {
			owners = append(owners, o)
		}
	}
	ratio := func(o *rangeOwner) float64 { return (o.load + 1) / (o.target + 1) }
	slices.SortStableFunc(owners, func(a, b *rangeOwner) int { return cmp.Compare(ratio(b), ratio(a)) })
	return owners
}

// receiver returns the owner that gets the next free range: one without any range, else
// the one that lacks most among those that lack load and have received the fewest ranges
// in this plan, else the one with the least surplus. Full owners come last.
func (l rangeOwnerList) receiver() *rangeOwner {
	order := func(o *rangeOwner) (class, received int) {
		switch {
		case o.full():
			return 3, 0
		case o.ranges == 0:
			return 0, 0
		case o.lack() > 0:
			return 1, o.received
		default:
			return 2, 0
		}
	}
	return slices.MinFunc(l, func(a, b *rangeOwner) int {
		classA, receivedA := order(a)
		classB, receivedB := order(b)
		return cmp.Or(cmp.Compare(classA, classB), cmp.Compare(receivedA, receivedB), cmp.Compare(b.lack(), a.lack()))
	})
}

// roomiest returns the owner that can take the most load in addition. Full owners come last.
func (l rangeOwnerList) roomiest() *rangeOwner {
	return slices.MinFunc(l, func(a, b *rangeOwner) int {
		return cmp.Or(lo.Ternary(a.full(), 1, 0)-lo.Ternary(b.full(), 1, 0), cmp.Compare(b.room(), a.room()))
	})
}

// without returns the owners except for the upstream with the given boot ID.
func (l rangeOwnerList) without(boot string) rangeOwnerList {
	return slices.DeleteFunc(slices.Clone(l), func(o *rangeOwner) bool { return o.boot == boot })
}

// alternating returns the owners in an order in which successive ones are in different
// data centres as far as possible: the owners of each data centre are evenly spaced.
func (l rangeOwnerList) alternating() rangeOwnerList {
	sizes, positions := map[fleet.DataCentre]int{}, make(map[*rangeOwner]float64, len(l))
	for _, o := range l {
		sizes[o.dataCentre]++
	}
	seen := map[fleet.DataCentre]int{}
	for _, o := range l {
		positions[o] = (float64(seen[o.dataCentre]) + 0.5) / float64(sizes[o.dataCentre])
		seen[o.dataCentre]++
	}
	order := slices.Clone(l)
	slices.SortFunc(order, func(a, b *rangeOwner) int {
		return cmp.Or(cmp.Compare(positions[a], positions[b]), cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.router, b.router))
	})
	return order
}
