package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

// rangeOwnerList is sorted by router.
type rangeOwnerList []*rangeOwner

// rangeOwners returns the upstreams of a service that may hold keys.
func rangeOwners(view *fleet.View, service string, loads *KeyLoads) rangeOwnerList {
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

// find returns the owner of a range, or nil.
func (l rangeOwnerList) find(r *fleet.KeyRange) *rangeOwner {
	i, ok := slices.BinarySearchFunc(l, r.Owner, func(o *rangeOwner, id fleet.RouterID) int { return cmp.Compare(o.router, id) })
	if !ok || !r.HeldBy(l[i].router, l[i].boot) {
		return nil
	}
	return l[i]
}

// neediest returns the owner that lacks most of its target.
func (l rangeOwnerList) neediest() *rangeOwner {
	return slices.MinFunc(l, func(a, b *rangeOwner) int { return cmp.Compare(a.has-a.target, b.has-b.target) })
}

// extremes returns the owners that are furthest above and below their target.
func (l rangeOwnerList) extremes() (most, least *rangeOwner) {
	ratio := func(o *rangeOwner) float64 { return (o.has + 1) / (o.target + 1) }
	most = slices.MaxFunc(l, func(a, b *rangeOwner) int { return cmp.Compare(ratio(a), ratio(b)) })
	return most, l.neediest()
}
