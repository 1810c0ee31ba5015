package placement

import (
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// rangePlan is the working state of PlanRanges for one service. The key space is
// a copy of the view's; changed is set once it differs.
type rangePlan struct {
	space   *fleet.KeySpace
	owners  rangeOwnerList
	loads   *KeyLoads
	policy  Policy
	changed bool
	// moves are the moves that the plan makes by capacity.
	moves []Move
}

// PlanRanges returns the command that brings a service's key space closer to
// ownership by eligible upstreams, each with a load in proportion to its slots
// and speed. It returns nil if there is nothing to do. Loads may be nil if none
// have been measured.
func PlanRanges(view *fleet.View, service string, loads *KeyLoads, limits Limits) *fsm.AssignRanges {
	assign, _ := PlanRangeMoves(view, service, loads, limits)
	return assign
}

// PlanRangeMoves is PlanRanges; it also returns the moves by capacity that the plan begins.
func PlanRangeMoves(view *fleet.View, service string, loads *KeyLoads, limits Limits) (*fsm.AssignRanges, []Move) {
	space := view.KeySpaces[service]
	if space == nil {
		space = fleet.NewKeySpace(service)
	}
	if loads == nil {
		loads = NewKeyLoads()
	}
	p := &rangePlan{space: space.Clone(), owners: eligibleRangeOwners(view, service, loads, limits.Policy), loads: loads, policy: limits.Policy}
	if len(p.owners) == 0 || limits.DelayFirstGrants && p.neverGranted() {
		return nil, nil
	}
	p.revokeIneligible(view)
	p.setTargets()
	if limits.Policy.spreads() {
		p.spreadFree()
	} else {
		p.grantFree()
	}
	p.coarsen()
	if !limits.SuspendRebalancing {
		p.rebalance()
	}
	if !p.changed {
		return nil, nil
	}
	p.space.Normalize()
	if limits.Policy.spreads() {
		// Control processes of builds before the policy reject plans that leave out
		// ranges, so that such plans need a setting that only later builds know.
		changed := fleet.DiffKeySpaces(space, p.space)
		return &fsm.AssignRanges{Revision: space.Revision, Next: fleet.KeySpace(changed)}, p.moves
	}
	return &fsm.AssignRanges{Revision: space.Revision, Next: *p.space}, p.moves
}

// neverGranted reports whether no range of the key space was ever granted.
func (p *rangePlan) neverGranted() bool { return p.space.LastEpoch == 0 }

// revokeIneligible revokes the ranges of routers that are no longer eligible. A
// router without an announced upstream keeps its ranges: it may have restarted
// beside an upstream that is still running and has yet to announce itself
// again.
func (p *rangePlan) revokeIneligible(view *fleet.View) {
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		if r.Phase != fleet.ShardGranted {
			continue
		}
		if router, ok := view.Routers[r.Owner]; ok && router.Upstream.Name != "" && !view.Eligible(router) {
			r.Phase = fleet.ShardRevoking
			p.changed = true
		}
	}
}

// setTargets computes the load of each owner, and its target: the total load
// divided in proportion to weight.
func (p *rangePlan) setTargets() {
	total, weight := 0.0, 0.0
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		load := p.loads.Sum(r.First, r.Last)
		total += load
		if o := p.owners.ownerOf(r); o != nil {
			o.ranges++
			if r.Phase == fleet.ShardGranted {
				o.load += load
			}
		}
	}
	for _, o := range p.owners {
		weight += o.weight
	}
	for _, o := range p.owners {
		o.target = total * o.weight / weight
	}
}

// grantFree grants each free range to the owners furthest below their target. A
// range with more load than such an owner lacks is split. Every grant gets a new
// epoch above all earlier ones of the key space.
func (p *rangePlan) grantFree() {
	p.joinFree()
	epoch := p.space.LastEpoch
	for i := 0; i < len(p.space.Ranges); i++ {
		if p.space.Ranges[i].Phase != fleet.ShardFree {
			continue
		}
		owners := p.owners.withRoom()
		if len(owners) == 0 {
			break
		}
		o := owners.mostUnderloaded()
		r := p.space.Ranges[i]
		if last := p.loads.PrefixEnd(r.First, r.Last, o.target-o.load); last < r.Last && p.maySplit(&r) {
			p.space.Split(last + 1)
			r = p.space.Ranges[i]
		}
		epoch++
		o.load += p.loads.Sum(r.First, r.Last)
		o.ranges++
		p.space.Ranges[i] = fleet.KeyRange{
			First: r.First, Last: r.Last, Phase: fleet.ShardGranted, Owner: o.router, Boot: o.boot, Epoch: epoch, Handover: r.Handover,
		}
		p.changed = true
	}
	p.space.LastEpoch = epoch
}

// maySplit reports whether a free range may be split further. The number of
// ranges is bounded so that the list of ranges sent to each upstream stays short.
func (p *rangePlan) maySplit(r *fleet.KeyRange) bool {
	return r.Size() > 1 && len(p.space.Ranges) < maxRangesPerOwner*len(p.owners)
}
