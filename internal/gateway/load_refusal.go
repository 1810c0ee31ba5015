package gateway

import (
	"time"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// usesReports reports whether load reports decide. The baseline policies ignore them.
func (c *Core) usesReports() bool {
	return c.settings.Balancer.Reports && c.settings.Balancer.Policy == balancer.Estimated
}

// checkLoad returns whether a request can start in time according to load reports. A
// resend of a request that must not run twice is always sent: its owner may have the
// answer. So is a delegated one, whose executor was chosen by its own record keeper.
func (c *Core) checkLoad(now clock.Instant, p *pendingRequest) balancer.Admission {
	if !c.usesReports() || p.request.Delegated || p.request.Resend && !p.idempotent {
		return balancer.Admission{}
	}
	startBy := c.startBy(now, p)
	if p.sharded || p.ranged {
		owner, ok := c.chooseExecutor(now, p)
		if !ok {
			return balancer.Admission{}
		}
		return c.table.AdmitAt(owner.ID, now, startBy)
	}
	return c.table.Admit(p.request.Service, now, startBy, p.attempted)
}

// startBy returns the latest start with which a request is worth sending: its objective,
// or its deadline if it is late anyway. It is the deadline too for a nested request, since
// refusing it wastes the run of its parent, and for a route that executors put before
// another one of the service, since the reported wait is not that of such a route.
func (c *Core) startBy(now clock.Instant, p *pendingRequest) clock.Instant {
	if p.request.Nested || p.objective <= now || p.priority() < c.lastPriority[p.request.Service] {
		return p.deadline
	}
	return min(p.objective, p.deadline)
}

// refuseByLoad answers a request without a try.
func (c *Core) refuseByLoad(now clock.Instant, p *pendingRequest, admission *balancer.Admission) {
	p.refusedByLoad, p.reason = true, verdict.ReasonOverloaded
	c.output.Refused++
	c.output.Events = append(c.output.Events, call.NewEvent(event.RequestNotSent,
		event.F("request", p.request.ID), event.F("service", p.request.Service), event.F("operation", p.request.Operation),
		event.F("key", p.request.KeyNumber), event.F("wait", admission.Wait), event.F("age", admission.Age),
		event.F("executors", admission.Executors), event.F("left", c.startBy(now, p).Sub(now)), event.F("view", uint64(c.view.Version))))
	c.finish(now, p, &call.Answer{RequestID: p.request.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
}

// reportedWait returns the least wait for a slot among the executors that may run a
// request, or false if none has reported it recently.
func (c *Core) reportedWait(now clock.Instant, p *pendingRequest) (time.Duration, bool) {
	if !p.sharded && !p.ranged {
		return c.table.ServiceWait(p.request.Service, now)
	}
	owner, ok := c.chooseExecutor(now, p)
	if !ok {
		return 0, false
	}
	return c.table.ExecutorWait(owner.ID, now)
}

// lastPriorities returns the lowest priority, that is the highest number, of the routes to
// each service.
func lastPriorities(preset *fleet.Preset) map[string]int {
	last := map[string]int{}
	if preset == nil {
		return last
	}
	for i := range preset.Routes {
		route := &preset.Routes[i]
		for _, target := range route.Targets {
			last[target.Service] = max(last[target.Service], route.Priority)
		}
	}
	return last
}
