package placement

import (
	"github.com/samber/lo"

	"endivespring/internal/fleet"
)

// ownerList is sorted by router.
type ownerList []*owner

func (l ownerList) bySession(session fleet.Session) *owner {
	found, _ := lo.Find(l, func(o *owner) bool { return o.session == session })
	return found
}

func (l ownerList) least() *owner {
	return lo.MinBy(l, func(a, b *owner) bool { return len(a.shards) < len(b.shards) })
}

func (l ownerList) most() *owner {
	return lo.MaxBy(l, func(a, b *owner) bool { return len(a.shards) > len(b.shards) })
}
