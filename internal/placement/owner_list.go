package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/fleet"
)

// ownerList is the eligible owners of one service, sorted by router ID.
type ownerList []*owner

// eligibleOwners returns the eligible owners of each service, without shards.
func eligibleOwners(view *fleet.View) map[string]ownerList {
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

// setQuotas divides the shards of the service among the owners by weight. The
// remainder goes to the owners furthest above their quota, so that the fewest
// shards move.
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
	slices.SortStableFunc(order, func(a, b *owner) int { return cmp.Compare(a.deficit(), b.deficit()) })
	for _, o := range order[:left] {
		o.quota++
	}
}
