package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

// ownerList is sorted by router.
type ownerList []*owner

// ownersByService returns the eligible owners of each service.
func ownersByService(view *fleet.View) map[string]ownerList {
	owners := map[string]ownerList{}
	for _, router := range view.Routers {
		if view.Eligible(router) {
			o := &owner{router: router.ID, session: router.Session, weight: max(1, router.Upstream.Slots)}
			owners[router.Upstream.Service] = append(owners[router.Upstream.Service], o)
		}
	}
	for _, list := range owners {
		slices.SortFunc(list, func(a, b *owner) int { return cmp.Compare(a.router, b.router) })
	}
	return owners
}

func (l ownerList) bySession() map[fleet.Session]*owner {
	index := make(map[fleet.Session]*owner, len(l))
	for _, o := range l {
		index[o.session] = o
	}
	return index
}

// setQuotas divides shards by weight. What does not divide evenly stays where
// the most shards are, so that the fewest move.
func (l ownerList) setQuotas(shards int) {
	total := 0
	for _, o := range l {
		total += o.weight
	}
	left := shards
	for _, o := range l {
		o.quota = shards * o.weight / total
		left -= o.quota
	}
	order := slices.Clone(l)
	slices.SortStableFunc(order, func(a, b *owner) int { return cmp.Compare(a.missing(), b.missing()) })
	for _, o := range order[:left] {
		o.quota++
	}
}
