// Package placement decides which router owns each shard. A plan is a pure
// function of a view.
package placement

import (
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Plan returns the grants and revokes that lead from a view towards ownership
// in proportion to slots by eligible routers, with as few moves as that needs.
// Its time grows with the numbers of routers and shards.
func Plan(view *fleet.View, limits Limits) *fsm.Assign {
	plan := &fsm.Assign{}
	if view.Preset == nil {
		return plan
	}
	owners := ownersByService(view)
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
	if len(owners) == 0 || limits.Starting && len(free) == int(service.Shards) {
		return
	}
	owners.setQuotas(int(service.Shards))
	grant(owners, free, plan)
	if !limits.Settling {
		rebalance(owners, limits.MaxRebalancing-revoking, plan)
	}
}

// sessionIsOpen reports whether the shard's owner can be asked to release it;
// otherwise its lease must run out.
func sessionIsOpen(view *fleet.View, shard fleet.Shard) bool {
	router, ok := view.Routers[shard.Owner]
	return ok && router.Session == shard.Session
}

// grant gives free shards to the owners that lack some. All quotas together
// are all shards, so that those that lack some take every free one.
func grant(owners ownerList, free []fleet.ShardID, plan *fsm.Assign) {
	for len(free) > 0 {
		for _, o := range owners {
			if len(free) > 0 && o.missing() > 0 {
				o.shards = append(o.shards, free[0])
				plan.Grants = append(plan.Grants, fsm.Grant{Shard: free[0], Router: o.router, Session: o.session})
				free = free[1:]
			}
		}
	}
}

// rebalance asks shards back from owners with too many, up to a limit. An owner
// with too many was granted none by the same plan.
func rebalance(owners ownerList, limit int, plan *fsm.Assign) {
	for _, o := range owners {
		for limit > 0 && o.missing() < 0 {
			last := len(o.shards) - 1
			plan.Revokes = append(plan.Revokes, o.shards[last])
			o.shards = o.shards[:last]
			limit--
		}
	}
}
