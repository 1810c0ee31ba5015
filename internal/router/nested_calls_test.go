package router

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// TestNestedCallsOfAStuckExecutorDuty checks that the gateway duty goes on while the executor
// duty takes no reports: full rings drop the oldest, and the newest is kept.
func TestNestedCallsOfAStuckExecutorDuty(t *testing.T) {
	now := &manualClock{now: clock.Instant(time.Hour)}
	core := gateway.New(gateway.Settings{Balancer: balancer.Settings{Seed: 1, Self: "self", DataCentre: "d"}, ReportNested: true})
	core.SetViewLease(clock.Never)
	assert.Assert(t, core.SetView(now.now, &fleet.Change{Full: true, To: 1,
		Preset: &fleet.Preset{
			Services: []fleet.Service{{Name: "s"}},
			Routes:   []fleet.Route{{Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Second, Objective: time.Second, MaxUpstreams: 1, Targets: []fleet.Target{{Service: "s"}}}},
		},
		Routers: []fleet.Router{{ID: "self", Session: 1, DataCentre: "d", Upstream: fleet.Upstream{Name: "u", Service: "s", Slots: 9}}},
	}))
	d := &gatewayDuty{
		self: "self", core: core, clock: now, events: discardEvents{}, executor: ring.New[*submission]("submissions", 8, ring.Refuse),
		pending: map[uint64]*caller.Request{}, tokens: map[uint64]uint64{}, delegatedRuns: map[uint64]uint64{},
		nestedCalls: ring.New[call.NestedCall]("nested-calls", 2, ring.DropOldest), waits: ring.New[call.ServiceWait]("service-waits", 1, ring.DropOldest),
	}
	for i := range uint64(4) {
		now.now = now.now.Add(time.Second)
		core.Start(now.now, gateway.Request{Token: i + 1, ID: "id", Method: "GET", Host: "h", Path: "/x", Timeout: 2 * time.Second, Nested: true})
		d.dispatch(context.Background())
		submitted := <-d.executor.Out()
		d.handleAnswer(&inboundAnswer{from: "self", answer: call.Answer{
			Number: submitted.call.Number, RequestID: "id", Verdict: verdict.Ran, Status: 200, Load: call.Load{Limit: 9, NestedWait: time.Duration(i) * time.Millisecond},
		}})
		core.ReportWaits(now.now)
		d.dispatch(context.Background())
	}
	assert.Equal(t, d.nestedCalls.Dropped(), int64(2))
	assert.Equal(t, d.waits.Dropped(), int64(3))
	wait := <-d.waits.Out()
	assert.Equal(t, wait, call.ServiceWait{Service: "s", Wait: 3 * time.Millisecond, ReportedAt: now.now})
}
