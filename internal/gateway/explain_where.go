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
	case service.Ranged:
		c.explainRange(now, q, w)
	default:
		c.explainShard(now, q, service, entry.Route.Idempotent, w)
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
		c.explainShard(now, q, service, operation.Idempotent, w)
	}
}

// explainShard explains a request to a service whose keys are not numbered.
func (c *Core) explainShard(now clock.Instant, q *Question, service *fleet.Service, idempotent bool, w *Whereabouts) {
	p := pendingRequest{request: Request{Key: q.Key}, idempotent: idempotent}
	p.assignShard(service)
	switch {
	case service.Keyed:
		shard := c.view.Shard(p.shard)
		w.Keyed, w.Shard, w.Phase, w.Owner, w.Epoch = true, p.shard.String(), shard.Phase, shard.Owner, shard.Epoch
		router, ok := c.table.Owner(p.shard)
		c.explainOwner(now, router, ok, w)
	case p.sharded:
		w.Candidates = c.table.Candidates(service.Name, now)
		w.Decision, w.Why = Sent, "owner of the shard of the request ID, which keeps its record"
	default:
		c.explainChoiceAmong(now, w)
	}
}

func (c *Core) explainRange(now clock.Instant, q *Question, w *Whereabouts) {
	w.Keyed = true
	if space := c.view.KeySpaces[w.Service]; space != nil && q.KeyNumber < fleet.KeyCount {
		r := space.Find(q.KeyNumber)
		w.Phase, w.Owner, w.Epoch = r.Phase, r.Owner, r.Epoch
	}
	router, ok := c.table.KeyOwner(w.Service, q.KeyNumber)
	c.explainOwner(now, router, ok, w)
}

func (c *Core) explainOwner(now clock.Instant, router fleet.Router, ok bool, w *Whereabouts) {
	if !ok {
		w.Decision, w.Reason, w.Why = Parked, verdict.ReasonNoOwner, "the key has no owner that may serve it now"
		return
	}
	w.Decision, w.Why = Sent, "owner of the key"
	if candidate, known := c.table.Candidate(router.ID, now); known {
		w.Candidates = []balancer.Candidate{candidate}
	}
}

func (c *Core) explainChoiceAmong(now clock.Instant, w *Whereabouts) {
	w.Candidates = c.table.Candidates(w.Service, now)
	switch {
	case len(w.Candidates) == 0:
		w.Decision, w.Reason, w.Why = Parked, verdict.ReasonNoOwner, "the service has no executor that takes work"
	case c.table.Policy() != balancer.Estimated:
		w.Decision, w.Why = Sent, "baseline policy"
	default:
		w.Decision, w.Why = Sent, "least estimated time to finish among those drawn at random from the candidates"
	}
}
