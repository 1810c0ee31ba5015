package placement

import (
	"cmp"
	"math"
	"slices"

	"endivespring/internal/fleet"
)

// rangeOwnerList is the eligible upstreams of one ranged service, sorted by
// router ID.
type rangeOwnerList []*rangeOwner

// eligibleRangeOwners returns the upstreams of a service that may be granted
// ranges of keys.
func eligibleRangeOwners(view *fleet.View, service string, loads *KeyLoads) rangeOwnerList {
	var owners rangeOwnerList
	for _, router := range view.Routers {
		if router.Serves(service) && view.Eligible(router) {
			owners = append(owners, &rangeOwner{
				router: router.ID, boot: router.Upstream.Boot, weight: float64(max(1, router.Upstream.Slots)) * loads.speed(router.Upstream.Boot),
			})
		}
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
