package gateway

import (
	"maps"
	"time"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const (
	// startShare is the share of its run time that a call must have left when it starts,
	// as executors have it. By the objective alone, hardly any request was refused here:
	// the queue of a full executor is as long as executors let it become, and that is less.
	startShare = 0.6
	// maxLateWait is how long executors queue a late call while queues are bounded by
	// their length.
	maxLateWait   = 40 * time.Millisecond
	runTimeWeight = 0.05 // weight of a new sample in the run time of a route
)

// usesReports reports whether load reports decide. The baseline policies ignore them.
func (c *Core) usesReports() bool {
	return c.settings.Balancer.Reports && c.settings.Balancer.Policy == balancer.Estimated
}

// checkLoad returns whether a request can start in time according to load reports. A
// resend of a request that must not run twice is always sent: its owner may have the
// answer. So is a delegated one, whose executor was chosen by its own record keeper. A
// key that is being moved waits for its next owner.
func (c *Core) checkLoad(now clock.Instant, p *pendingRequest) balancer.Admission {
	if !c.usesReports() || p.request.Delegated || p.request.Resend && !p.idempotent {
		return balancer.Admission{}
	}
	limit := c.startLimit(now, p)
	if !c.ownerRuns(p) {
		if !p.sharded {
			return c.table.Admit(p.request.Service, now, limit, p.attempted)
		}
		// The owner keeps the deduplication record and chooses the executor itself.
		admission := c.table.Admit(p.request.Service, now, limit, nil)
		admission.Forced = false
		return admission
	}
	owner, ok := c.chooseExecutor(now, p)
	if !ok || p.attempts > 0 && isRedirect(p.reason) || p.ranged && !c.table.KeyGranted(p.request.Service, p.request.KeyNumber) {
		return balancer.Admission{}
	}
	return c.table.AdmitAt(owner.ID, now, limit)
}

// ownerRuns reports whether only the upstream of the owner may run a request. The owner of
// a request of an unkeyed service keeps its deduplication record and delegates the run.
func (c *Core) ownerRuns(p *pendingRequest) bool {
	if p.ranged || !p.sharded {
		return p.ranged
	}
	s := c.view.Preset.Service(p.request.Service)
	return s != nil && s.Keyed
}

// startLimit returns the limits with which executors queue a request. They start a call
// in time for its objective, or for its deadline if it is late anyway; the latter takes
// free slots only while the queue is bounded by its length. Only the deadline counts for a
// nested request, since refusing it wastes the run of its parent, and for a route that
// executors put before another one of the service, since the reported wait is not that
// of such a route.
func (c *Core) startLimit(now clock.Instant, p *pendingRequest) balancer.StartLimit {
	runReserve := time.Duration(0)
	if p.route != nil {
		// The run time includes the link and queueing, which may exceed the objective under
		// overload; then nothing would be sent that could correct it.
		runReserve = time.Duration(startShare * float64(c.runTimes[p.route.Name]))
		if p.route.Objective > 0 {
			runReserve = min(runReserve, p.route.Objective/2)
		}
	}
	latest, inTime := p.deadline.Add(-runReserve), p.objective.Add(-runReserve)
	if p.request.Nested || p.objective == 0 || p.priority() < c.lastPriority[p.request.Service] {
		return balancer.StartLimit{By: latest}
	}
	limit := balancer.StartLimit{By: latest}
	if inTime > now {
		limit.By = min(latest, inTime)
	} else if !c.settings.QueueByTime {
		limit.By = min(latest, now.Add(maxLateWait))
	}
	if s := c.view.Preset.Service(p.request.Service); s != nil && !c.settings.QueueByTime {
		limit.Queue = s.QueueLimit
	}
	return limit
}

// observeRun adds the latency of a call without its wait to the run time of its route.
func (c *Core) observeRun(now clock.Instant, pc *pendingCall) {
	route := pc.parent.route
	if route == nil {
		return
	}
	took := max(0, now.Sub(pc.sent)-pc.wait)
	if mean, ok := c.runTimes[route.Name]; ok {
		took = mean + time.Duration(runTimeWeight*float64(took-mean))
	}
	c.runTimes[route.Name] = took
}

// pruneRunTimes discards the run times of routes that the preset no longer has.
func (c *Core) pruneRunTimes() {
	names := map[string]bool{}
	if c.view.Preset != nil {
		for i := range c.view.Preset.Routes {
			names[c.view.Preset.Routes[i].Name] = true
		}
	}
	maps.DeleteFunc(c.runTimes, func(name string, _ time.Duration) bool { return !names[name] })
}

// refuseByLoad answers a request without a try.
func (c *Core) refuseByLoad(now clock.Instant, p *pendingRequest, admission *balancer.Admission) {
	p.returnRetry()
	p.refusedByLoad, p.reason = true, verdict.ReasonOverloaded
	c.output.Refused++
	c.output.Events = append(c.output.Events, call.NewEvent(event.RequestNotSent,
		event.F("request", p.request.ID), event.F("service", p.request.Service), event.F("operation", p.request.Operation),
		event.F("key", p.request.KeyNumber), event.F("wait", admission.Wait), event.F("age", admission.Age),
		event.F("executors", admission.Executors), event.F("left", c.startLimit(now, p).By.Sub(now)), event.F("view", uint64(c.view.Version))))
	c.finish(now, p, &call.Answer{RequestID: p.request.ID, Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
}

// reportedWait returns the least wait for a slot among the executors that may run a
// request, or false if none has reported it recently.
func (c *Core) reportedWait(now clock.Instant, p *pendingRequest) (time.Duration, bool) {
	if !c.ownerRuns(p) {
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
