package gateway

import (
	"endivespring/internal/balancer"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// ExplainWhere returns where a request would go now. It follows admit and chooseExecutor,
// but changes nothing: no random number is drawn, no split advances, and no budget, counter
// or timer changes.
func (c *Core) ExplainWhere(now clock.Instant, q *Question) Whereabouts {
	w := Whereabouts{View: c.view.Version, Service: q.Service, Decision: Refused}
	switch {
	case now >= c.viewExpiry:
		w.Reason, w.Why = verdict.ReasonViewStale, "the router has no valid lease of its view"
	case c.view.Preset == nil:
		w.Reason, w.Why = verdict.ReasonNoPreset, "no preset is in force"
	case q.Method != "":
		c.explainRouted(now, q, &w)
	default:
		c.explainNamed(now, q, &w)
	}
	return w
}

func (c *Core) explainRouted(now clock.Instant, q *Question, w *Whereabouts) {
	entry := c.routes.Match(q.Host, q.Path)
	if entry == nil {
		w.Reason, w.Why = verdict.ReasonUnknownRoute, "no route has this host and a prefix of this path"
		return
	}
	w.Route, w.Service = entry.Route.Name, entry.Upcoming()
	if len(entry.Route.Targets) > 1 {
		w.Targets = entry.Route.Targets
	}
	service := c.view.Preset.Service(w.Service)
	switch {
	case service == nil:
		w.Reason, w.Why = verdict.ReasonUnknownService, "the preset has no such service"
	case service.Ranged && !q.Numbered:
		w.Reason, w.Why = verdict.ReasonMissingKey, "the service needs a numbered key"
	default:
		p := &pendingRequest{
			request: Request{Service: service.Name, Key: q.Key, KeyNumber: q.KeyNumber}, route: entry.Route, ranged: service.Ranged,
			idempotent: entry.Route.Idempotent, deadline: now.Add(entry.Route.Timeout),
		}
		if entry.Route.Objective > 0 {
			p.objective = now.Add(entry.Route.Objective)
		}
		c.explainTarget(now, p, service, w)
	}
}

func (c *Core) explainNamed(now clock.Instant, q *Question, w *Whereabouts) {
	service := c.view.Preset.Service(q.Service)
	if service == nil {
		w.Reason, w.Why = verdict.ReasonUnknownService, "the preset has no such service"
		return
	}
	operation, ok := service.Operation(q.Operation)
	switch {
	case !ok:
		w.Reason, w.Why = verdict.ReasonUnknownOp, "the service has no such operation"
	case service.Keyed && q.Key == "":
		w.Reason, w.Why = verdict.ReasonMissingKey, "the service needs a key"
	default:
		p := &pendingRequest{request: Request{Service: service.Name, Key: q.Key}, idempotent: operation.Idempotent, deadline: now.Add(operation.Deadline)}
		c.explainTarget(now, p, service, w)
	}
}

// explainTarget explains where an admitted request to a service goes.
func (c *Core) explainTarget(now clock.Instant, p *pendingRequest, service *fleet.Service, w *Whereabouts) {
	limit := c.startLimit(now, p)
	if !p.ranged {
		p.assignShard(service)
	}
	switch {
	case p.ranged:
		c.explainRange(p, w)
	case service.Keyed:
		shard := c.view.Shard(p.shard)
		w.Keyed, w.Shard, w.Phase, w.Owner, w.Epoch = true, p.shard.String(), shard.Phase, shard.Owner, shard.Epoch
	default:
		c.explainChoiceAmong(now, p, limit, w)
		return
	}
	router, ok := c.chooseExecutor(now, p)
	if !ok {
		w.Decision, w.Reason, w.Why = Parked, verdict.ReasonNoOwner, "the key has no owner that may serve it now"
		return
	}
	w.Decision, w.Why = Sent, "owner of the key"
	candidate, known := c.table.Candidate(router.ID, now, limit)
	if !known {
		return
	}
	w.Candidates = []balancer.Candidate{candidate}
	moving := p.ranged && w.Phase != fleet.ShardGranted
	if c.usesReports() && candidate.Known && candidate.Full && !candidate.Failing && !moving {
		w.refuseByLoad()
	}
}

func (c *Core) explainRange(p *pendingRequest, w *Whereabouts) {
	w.Keyed = true
	if space := c.view.KeySpaces[w.Service]; space != nil && p.request.KeyNumber < fleet.KeyCount {
		r := space.Find(p.request.KeyNumber)
		w.Phase, w.Owner, w.Epoch = r.Phase, r.Owner, r.Epoch
	}
}

func (c *Core) explainChoiceAmong(now clock.Instant, p *pendingRequest, limit balancer.StartLimit, w *Whereabouts) {
	w.Candidates = c.table.Candidates(w.Service, now, limit)
	switch {
	case c.usesReports() && allFull(w.Candidates):
		w.refuseByLoad()
	case p.sharded:
		w.Decision, w.Why = Sent, "owner of the shard of the request ID, which keeps its record"
	case len(w.Candidates) == 0:
		w.Decision, w.Reason, w.Why = Parked, verdict.ReasonNoOwner, "the service has no executor that takes work"
	case c.settings.Balancer.Policy != balancer.Estimated:
		w.Decision, w.Why = Sent, "baseline policy"
	default:
		w.Decision, w.Why = Sent, "least estimated time to finish among those drawn at random from the candidates"
	}
}

// allFull reports whether a request can start in time at none of the executors that work.
// There must be one.
func allFull(candidates []balancer.Candidate) bool {
	working := 0
	for i := range candidates {
		if candidates[i].Failing {
			continue
		}
		if !candidates[i].Full {
			return false
		}
		working++
	}
	return working > 0
}

func (w *Whereabouts) refuseByLoad() {
	w.Decision, w.Reason = Refused, verdict.ReasonOverloaded
	w.Why = "no executor can start it in time by its reports; one request in 16 is sent all the same"
}
