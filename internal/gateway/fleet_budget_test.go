package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

// TestFleetWideRetriesStayWithinBudget makes all upstreams of a service fail at the same
// time after an idle period, while every router has requests. All retries of the
// fleet together must stay within what operators allow in 10 s: a fifth of the
// requests plus 58.
func TestFleetWideRetriesStayWithinBudget(t *testing.T) {
	const window, share, slack = 10 * time.Second, 0.2, 58
	for routers, perSecond := range map[int]int{2: 67, 14: 67, 89: 353, 300: 1000} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			cores := make([]*Core, routers)
			for i := range cores {
				cores[i] = newCoreWithRouters(t, uint64(i), routers)
			}
			total := perSecond * int(window/time.Second)
			sends := 0
			for i := range total {
				now := clock.Instant(window) * clock.Instant(i) / clock.Instant(total)
				sends += countSends(cores[i%routers], now, uint64(i+1))
			}
			repeats := sends - total
			assert.Assert(t, repeats > 0 && float64(repeats) <= share*float64(total)+slack, "%d repeats of %d requests", repeats, total)
		})
	}
}

// newCoreWithRouters returns the core of a gateway in a fleet of the given number of
// routers.
func newCoreWithRouters(t *testing.T, seed uint64, routers int) *Core {
	core := New(Settings{Balancer: balancer.Settings{Seed: seed, Self: "entry", DataCentre: "d"}})
	core.SetViewLease(clock.Never)
	route := fleet.Route{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Second, Objective: 400 * time.Millisecond, MaxUpstreams: 2,
		Targets: []fleet.Target{{Service: "s"}},
	}
	change := &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{
		Services: []fleet.Service{{Name: "s", RetryBudget: 0.1, QueueLimit: 18}}, Routes: []fleet.Route{route},
	}}
	for i := range routers {
		id := fleet.RouterID(fmt.Sprintf("r%03d", i))
		change.Routers = append(change.Routers, fleet.Router{
			ID: id, Session: fleet.Session(i + 1), DataCentre: "d", Upstream: fleet.Upstream{Name: string(id), Service: "s", Slots: 9},
		})
	}
	assert.Assert(t, core.SetView(0, change))
	return core
}

// countSends starts a request, has every upstream refuse it, and returns the number of
// calls sent.
func countSends(core *Core, now clock.Instant, token uint64) int {
	core.Start(now, Request{Token: token, ID: fmt.Sprint(token), Method: "GET", Host: "h", Path: "/x", Target: "/x", Timeout: time.Second})
	sends := 0
	for out := core.Take(); len(out.Sends) > 0; out = core.Take() {
		for _, send := range out.Sends {
			sends++
			core.HandleAnswer(now, send.Router.ID, call.Answer{
				Number: send.Call.Number, RequestID: send.Call.RequestID, Verdict: verdict.NotRun, Reason: verdict.ReasonShed,
			})
		}
	}
	return sends
}
