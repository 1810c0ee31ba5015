// Package gateway decides which calls a caller's request becomes: which executor
// gets it, when it is retried or hedged, and what the caller is answered. It is
// a pure state machine: the current time and the executors' answers are
// arguments, and what is to be sent is returned as an Output.
//
// Two invariants hold. A request is sent again only if every earlier call of it
// is proved not to have run, or if it is idempotent. Every request is answered
// exactly once.
package gateway

import (
	"math/rand/v2"
	"time"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/routes"
)

// Core holds the requests in flight at one gateway. It is owned by one duty.
type Core struct {
	settings Settings
	table    *balancer.Table
	view     *fleet.View
	routes   *routes.Table
	// viewExpiry is when the view lease expires.
	viewExpiry clock.Instant
	// lastCall is the number of the latest call.
	lastCall uint64
	// requestsByToken holds the requests in flight, callsByNumber their calls.
	requestsByToken map[uint64]*pendingRequest
	callsByNumber   map[uint64]pendingCall
	timers          timers
	// parked are the requests without a call in flight, which wait for an executor;
	// in no order.
	parked   []*pendingRequest
	services map[string]*serviceState
	// lastPriority is the lowest priority of the routes to each service.
	lastPriority map[string]int
	// runTimes are moving averages of the run times of routes, by name.
	runTimes map[string]time.Duration
	random   *rand.Rand
	// nestedServices are those that the upstream beside the gateway calls for its runs;
	// waitsReportedAt is when their waits were last reported.
	nestedServices  []nestedService
	waitsReportedAt clock.Instant
	// endsAt is when a stopping router breaks off its requests, or zero.
	endsAt clock.Instant
	// stopping is set once the router refuses what waits because it is stopping. Only requests of
	// which a call may have run are sent again then.
	stopping bool
	output   Output
}

// New returns a core without requests. It refuses every request until it has a view lease
// and a view with a preset.
func New(s Settings) *Core {
	random := rand.New(rand.NewPCG(s.Balancer.Seed, s.Balancer.Seed+1))
	return &Core{
		settings: s, table: balancer.NewTable(s.Balancer), view: fleet.NewView(),
		routes: routes.NewTable(nil, nil, random), random: random,
		requestsByToken: map[uint64]*pendingRequest{}, callsByNumber: map[uint64]pendingCall{}, services: map[string]*serviceState{},
		runTimes: map[string]time.Duration{},
	}
}

// Take returns the output that accumulated since the last call of Take.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Len returns the number of requests in flight.
func (c *Core) Len() int { return len(c.requestsByToken) }

// View returns the current view, which the caller must not change.
func (c *Core) View() *fleet.View { return c.view }

// SetView applies a change to the view and dispatches parked requests for which
// the change may have made an executor available. It reports false, and changes
// nothing, if the change does not follow the current version of the view.
func (c *Core) SetView(now clock.Instant, change *fleet.Change) bool {
	if !c.view.Apply(change) {
		return false
	}
	if change.ChangesPreset() || change.Full {
		c.routes = routes.NewTable(c.view.Preset, c.routes, c.random)
		c.lastPriority = lastPriorities(c.view.Preset)
		c.pruneRunTimes()
	}
	c.table.Update(c.view, change)
	for _, s := range c.services {
		s.setBurst(routerBurst(len(c.view.Routers)))
	}
	c.wakeParked(now, change)
	return true
}

// SetViewLease sets the expiry of the view lease. New requests are refused once
// it has expired.
func (c *Core) SetViewLease(expiry clock.Instant) { c.viewExpiry = expiry }

// Deadline returns when Tick must be called next, or clock.Never.
func (c *Core) Deadline() clock.Instant {
	if len(c.timers) == 0 {
		return clock.Never
	}
	return c.timers[0].timer
}

// Tick handles every timer that is due: it answers requests whose deadline or
// wait limit has passed, dispatches parked requests and sends hedges.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && c.timers[0].timer <= now {
		p := c.timers[0]
		if p.deadline <= now || len(p.calls) == 0 && p.waitUntil <= now {
			c.expire(now, p)
			continue
		}
		c.setTimer(p, p.deadline)
		if len(p.calls) == 0 {
			c.dispatch(now, p)
			continue
		}
		c.sendHedge(now, p)
	}
}

// service returns the state of a service, created on first use.
func (c *Core) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = newServiceState(routerBurst(len(c.view.Routers)))
		c.services[name] = s
	}
	return s
}

// logAnswer adds an event about the answer to a request to the output.
func (c *Core) logAnswer(definition *event.Definition, r *Request, answer *call.Answer) {
	c.output.Events = append(c.output.Events, call.NewEvent(definition,
		event.F("request", r.ID), event.F("service", r.Service), event.F("operation", r.Operation),
		event.F("verdict", answer.Verdict.String()), event.F("reason", string(answer.Reason)), event.F("upstream", answer.Upstream),
		event.F("key", r.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("retryAfter", answer.RetryAfter)))
}
