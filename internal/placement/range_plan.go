package placement

import (
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// rangePlan is a plan for the key space of one service under way.
type rangePlan struct {
	space   *fleet.KeySpace
	owners  rangeOwnerList
	load    *KeyLoads
	changed bool
}

// PlanRanges returns the command that leads a service's key space from a view
// towards eligible routers that serve loads in proportion to what they bear, or
// nil if there is nothing to do. Loads may be nil if none are known.
func PlanRanges(view *fleet.View, service string, loads *KeyLoads, limits Limits) *fsm.AssignRanges {
	space := view.KeySpaces[service]
	if space == nil {
		space = fleet.NewKeySpace(service)
	}
	if loads == nil {
		loads = NewKeyLoads()
	}
	p := &rangePlan{space: space.Clone(), owners: rangeOwners(view, service, loads), load: loads}
	if len(p.owners) == 0 || limits.Starting && p.unowned() {
		return nil
	}
	p.askBack(view)
	p.setTargets()
	p.grantFree()
	if !limits.Settling {
		p.balance()
	}
	if !p.changed {
		return nil
	}
	p.space.Normalize()
	return &fsm.AssignRanges{Revision: space.Revision, Next: *p.space}
}

// unowned reports whether nobody ever held a key.
func (p *rangePlan) unowned() bool { return p.space.LastEpoch == 0 }

// askBack revokes ranges of routers that must get no new work. One that has
// just started again may not know its upstream yet, which goes on.
func (p *rangePlan) askBack(view *fleet.View) {
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

// setTargets computes each owner's share of the load, and what it has.
func (p *rangePlan) setTargets() {
	total, weight := 0.0, 0.0
	for i := range p.space.Ranges {
		r := &p.space.Ranges[i]
		amount := p.load.Of(r.First, r.Last)
		total += amount
		if o := p.owners.find(r); o != nil && r.Phase == fleet.ShardGranted {
			o.has += amount
		}
	}
	for _, o := range p.owners {
		weight += o.weight
	}
	for _, o := range p.owners {
		o.target = total * o.weight / weight
	}
}

// grantFree gives each free range to owners that lack load, in pieces if it is
// more than one of them lacks.
func (p *rangePlan) grantFree() {
	epoch := p.space.LastEpoch
	for i := 0; i < len(p.space.Ranges); i++ {
		if p.space.Ranges[i].Phase != fleet.ShardFree {
			continue
		}
		o := p.owners.neediest()
		r := p.space.Ranges[i]
		if last := p.load.Cut(r.First, r.Last, o.target-o.has); last < r.Last && p.mayCut(&r) {
			p.space.Split(last + 1)
			r = p.space.Ranges[i]
		}
		epoch++
		o.has += p.load.Of(r.First, r.Last)
		p.space.Ranges[i] = fleet.KeyRange{
			First: r.First, Last: r.Last, Phase: fleet.ShardGranted, Owner: o.router, Boot: o.boot, Epoch: epoch, Handover: r.Handover,
		}
		p.changed = true
	}
	p.space.LastEpoch = epoch
}

// mayCut reports whether a free range may be divided: the number of ranges is
// bounded, since an upstream's list of them is.
func (p *rangePlan) mayCut(r *fleet.KeyRange) bool {
	return r.Size() > 1 && len(p.space.Ranges) < maxRangesPerOwner*len(p.owners)
}
