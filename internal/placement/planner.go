// Package placement decides which router owns each shard. A plan is a pure
// function of a view.
package placement

import (
	"cmp"
	"slices"

	"endivespring/internal/control"
	"endivespring/internal/fleet"
)

// Plan returns the grants and revokes that lead from a view towards balanced
// ownership by eligible routers, with as few moves as balance needs.
func Plan(view *fleet.View, limits Limits) *control.Assign {
	plan := &control.Assign{}
	if view.Preset == nil {
		return plan
	}
	for i := range view.Preset.Services {
		planService(view, &view.Preset.Services[i], limits, plan)
	}
	return plan
}

func planService(view *fleet.View, service *fleet.Service, limits Limits, plan *control.Assign) {
	owners := eligibleOwners(view, service.Name)
	var free []fleet.ShardID
	revoking := 0
	for number := range service.Shards {
		shard := view.Shard(fleet.ShardID{Service: service.Name, Number: number})
		owner := owners.bySession(shard.Session)
		switch {
		case shard.Phase == fleet.ShardFree:
			free = append(free, shard.ID)
		case shard.Phase == fleet.ShardRevoking:
			revoking++
		case owner == nil:
			if sessionIsOpen(view, shard) {
				plan.Revokes = append(plan.Revokes, shard.ID)
			}
		default:
			owner.shards = append(owner.shards, shard.ID)
		}
	}
	if len(owners) == 0 {
		return
	}
	grantFree(owners, free, plan)
	rebalance(owners, int(service.Shards), revoking, limits.MaxRebalancing, plan)
}

// sessionIsOpen reports whether the shard's owner can be asked to release it;
// otherwise its lease must run out.
func sessionIsOpen(view *fleet.View, shard fleet.Shard) bool {
	router, ok := view.Routers[shard.Owner]
	return ok && router.Session == shard.Session
}

func eligibleOwners(view *fleet.View, service string) ownerList {
	var owners ownerList
	for _, router := range view.Routers {
		if router.Serves(service) && view.Eligible(router) {
			owners = append(owners, &owner{router: router.ID, session: router.Session})
		}
	}
	slices.SortFunc(owners, func(a, b *owner) int { return cmp.Compare(a.router, b.router) })
	return owners
}

func grantFree(owners ownerList, free []fleet.ShardID, plan *control.Assign) {
	for _, id := range free {
		o := owners.least()
		o.shards = append(o.shards, id)
		plan.Grants = append(plan.Grants, control.Grant{Shard: id, Router: o.router, Session: o.session})
	}
}

// rebalance asks shards back from owners above the mean while others are below
// it it, counting those already on the move. A shard that was just granted stays.
func rebalance(owners ownerList, shards, revoking, limit int, plan *control.Assign) {
	granted := map[fleet.ShardID]bool{}
	for _, grant := range plan.Grants {
		granted[grant.Shard] = true
	}
	mean := shards / len(owners)
	room := -revoking
	for _, o := range owners {
		room += max(0, mean-len(o.shards))
	}
	for range min(limit-revoking, room) {
		o := owners.most()
		if len(o.shards) <= mean {
			return
		}
		last := len(o.shards) - 1
		if granted[o.shards[last]] {
			return
		}
		plan.Revokes = append(plan.Revokes, o.shards[last])
		o.shards = o.shards[:last]
	}
}
