// Package gateway decides at the entry which calls a request becomes: where it
// is sent, when it is tried again or hedged and what the caller is told. It is
// a pure state machine; time and answers are arguments.
package gateway

import (
	"math/rand/v2"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/routes"
)

// Core holds the requests under way at one entry. It is owned by one duty.
type Core struct {
	settings  Settings
	table     *balancer.Table
	view      *fleet.View
	routes    *routes.Table
	viewUntil clock.Instant
	number    uint64
	tasks     map[uint64]*task
	flights   map[uint64]flight
	timers    timers
	// parked are the requests without a call under way, in no order.
	parked   []*task
	services map[string]*serviceState
	random   *rand.Rand
	output   Output
}

// New returns a core without requests.
func New(s Settings) *Core {
	return &Core{
		settings: s, table: balancer.NewTable(s.Routing), view: fleet.NewView(),
		routes: routes.NewTable(nil, nil), random: rand.New(rand.NewPCG(s.Routing.Seed, s.Routing.Seed+1)),
		tasks: map[uint64]*task{}, flights: map[uint64]flight{}, services: map[string]*serviceState{},
	}
}

// Take returns what the steps since the last Take ask for.
func (c *Core) Take() Output {
	out := c.output
	c.output = Output{}
	return out
}

// Len returns the number of requests under way.
func (c *Core) Len() int { return len(c.tasks) }

// View returns the view in use; it must not be changed.
func (c *Core) View() *fleet.View { return c.view }

// SetView applies a change of the view and looks again for doors for requests
// that wait for what the change names. It reports whether the change fitted.
func (c *Core) SetView(now clock.Instant, change *fleet.Change) bool {
	if !c.view.Apply(change) {
		return false
	}
	if change.Preset != nil || change.Full {
		c.routes = routes.NewTable(c.view.Preset, c.routes)
	}
	c.table.Update(c.view, change)
	for _, s := range c.services {
		s.bound(burstOf(len(c.view.Routers)))
	}
	c.wakeParked(now, change)
	return true
}

// SetViewLease sets the instant from which no new request is taken.
func (c *Core) SetViewLease(until clock.Instant) { c.viewUntil = until }

// Deadline returns when Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	if len(c.timers) == 0 {
		return clock.Never
	}
	return c.timers[0].timer
}

// Tick does what is due.
func (c *Core) Tick(now clock.Instant) {
	for len(c.timers) > 0 && c.timers[0].timer <= now {
		t := c.timers[0]
		if t.deadline <= now || len(t.calls) == 0 && t.patience <= now {
			c.expire(now, t)
			continue
		}
		c.setTimer(t, t.deadline)
		if len(t.calls) == 0 {
			c.try(now, t)
			continue
		}
		c.hedge(now, t)
	}
}

func (c *Core) service(name string) *serviceState {
	s := c.services[name]
	if s == nil {
		s = newServiceState(burstOf(len(c.view.Routers)))
		c.services[name] = s
	}
	return s
}

func (c *Core) decide(definition *event.Definition, r *Request, answer *call.Answer) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(definition,
		event.F("request", r.ID), event.F("service", r.Service), event.F("operation", r.Operation),
		event.F("verdict", answer.Verdict.String()), event.F("reason", string(answer.Reason)), event.F("upstream", answer.Upstream),
		event.F("key", r.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("retryAfter", answer.RetryAfter)))
}
