// Package placement decides which router owns each shard and each range of keys.
// A plan is a pure function of a view and of the measured loads. It grants only
// free shards and ranges, and revokes owned ones before anyone else may get
// them, so that each key has at most one owner.
package placement

import (
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Plan returns the grants and revocations that bring a view closer to ownership
// by eligible routers in proportion to their slots, with the fewest moves. Key
// spaces of ranged services are planned by PlanRanges. The run time grows with the
// numbers of routers and shards.
func Plan(view *fleet.View, limits Limits) *fsm.Assign {
	plan := &fsm.Assign{}
	if view.Preset == nil {
		return plan
	}
	owners := eligibleOwners(view)
	for i := range view.Preset.Services {
		service := &view.Preset.Services[i]
		if service.Ranged {
			continue
		}
		planService(view, service, owners[service.Name], limits, plan)
	}
	return plan
}

func planService(view *fleet.View, service *fleet.Service, owners ownerList, limits Limits, plan *fsm.Assign) {
	index := owners.bySession()
	var free []fleet.ShardID
	revoking := 0
	for number := range service.Shards {
		shard := view.Shard(fleet.ShardID{Service: service.Name, Number: number})
		owner := index[shard.Session]
		switch {
		case shard.Phase == fleet.ShardFree:
			free = append(free, shard.ID)
		case shard.Phase == fleet.ShardRevoking:
			revoking++
		case owner != nil:
			owner.shards = append(owner.shards, shard.ID)
		case sessionIsOpen(view, shard):
			plan.Revokes = append(plan.Revokes, shard.ID)
		}
	}
	if len(owners) == 0 || limits.DelayFirstGrants && len(free) == int(service.Shards) {
		return
	}
	owners.setQuotas(int(service.Shards))
	grant(owners, free, plan)
	if !limits.SuspendRebalancing {
		rebalance(owners, limits.MaxRebalancing-revoking, plan)
	}
}

// sessionIsOpen reports whether the session that owns the shard is still open, so
// that it can be told to release the shard; otherwise its lease has to expire.
func sessionIsOpen(view *fleet.View, shard fleet.Shard) bool {
	router, ok := view.Routers[shard.Owner]
	return ok && router.Session == shard.Session
}

// grant assigns the free shards to the owners below their quota, one at a time in
// turn. It ends because the quotas add up to the number of shards: the owners
// below their quota lack at least as many shards as are free.
func grant(owners ownerList, free []fleet.ShardID, plan *fsm.Assign) {
	for len(free) > 0 {
		for _, o := range owners {
			if len(free) > 0 && o.deficit() > 0 {
				o.shards = append(o.shards, free[0])
				plan.Grants = append(plan.Grants, fsm.Grant{Shard: free[0], Router: o.router, Session: o.session})
				free = free[1:]
			}
		}
	}
}

// rebalance revokes shards of owners above their quota, up to a limit. The same
// plan has granted nothing to such an owner.
func rebalance(owners ownerList, limit int, plan *fsm.Assign) {
	for _, o := range owners {
		for limit > 0 && o.deficit() < 0 {
			last := len(o.shards) - 1
			plan.Revokes = append(plan.Revokes, o.shards[last])
			o.shards = o.shards[:last]
			limit--
		}
	}
}
