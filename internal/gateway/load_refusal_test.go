package gateway

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const reportedRouters = 3

// reportedCore is a core with three routers for route /a/ (objective 400 ms, timeout 1 s)
// and /p/ (the same, of higher priority), of which the first owns all keys of /k/.
type reportedCore struct {
	*Core
	now clock.Instant
}

func newReportedCore() *reportedCore {
	c := &reportedCore{now: clock.Instant(time.Hour), Core: New(Settings{Balancer: balancer.Settings{Seed: 1, Self: "g", DataCentre: "dc", Reports: true}})}
	c.SetViewLease(clock.Never)
	route := func(name, service string, priority int) fleet.Route {
		return fleet.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: time.Second, Objective: 400 * time.Millisecond, MaxUpstreams: 2,
			Priority: priority, Targets: []fleet.Target{{Service: service, Weight: 1}}}
	}
	change := &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{
		Services: []fleet.Service{{Name: "k", Ranged: true, Keyed: true, RetryBudget: 1, QueueLimit: 18}, {Name: "s", RetryBudget: 1}},
		Routes:   []fleet.Route{route("a", "s", 1), route("k", "k", 1), route("p", "s", 0)},
	}}
	for i := range reportedRouters {
		change.Routers = append(change.Routers, fleet.Router{ID: routerID(i), Session: 1, DataCentre: "dc", Upstream: fleet.Upstream{Name: "u", Service: "s", Slots: 9}})
	}
	change.Routers = append(change.Routers, fleet.Router{ID: "owner", Session: 1, DataCentre: "dc", Upstream: fleet.Upstream{Name: "u", Boot: "b", Service: "k", Slots: 9}})
	change.KeySpaces = []fleet.KeySpace{{Service: "k", Ranges: []fleet.KeyRange{{First: 0, Last: fleet.KeyCount - 1, Owner: "owner", Boot: "b", Phase: fleet.ShardGranted}}}}
	c.SetView(c.now, change)
	return c
}

func (c *reportedCore) report(wait time.Duration) {
	for i := range reportedRouters {
		c.reportOf(routerID(i), wait)
	}
	c.reportOf("owner", wait)
}

func (c *reportedCore) reportOf(id fleet.RouterID, wait time.Duration) {
	load := call.Load{InFlight: 9, Limit: 9, Latency: 150 * time.Millisecond, Wait: wait}
	if wait == 0 {
		load.InFlight = 0
	}
	c.HandleReport(c.now, id, load)
}

// ask starts a request and returns where it was sent, or the answer.
func (c *reportedCore) ask(r Request) (*Send, *call.Answer) {
	r.Token, r.ID, r.Method, r.Host = c.lastCall+1e6+uint64(c.now), "x", "GET", "h"
	c.Start(c.now, r)
	out := c.Take()
	if len(out.Sends) > 0 {
		return &out.Sends[0], nil
	}
	return nil, &out.Replies[0].Answer
}

// TestRefusalByReports has three executors of 9 slots, all full, with runs of 150 ms.
func TestRefusalByReports(t *testing.T) {
	a, k := Request{Path: "/a/"}, Request{Path: "/k/", Numbered: true, KeyNumber: 7}
	nested, resend, late, lateKey := a, a, a, k
	nested.Nested, resend.Resend = true, true
	late.Received = clock.Instant(time.Hour) - clock.Instant(500*time.Millisecond)
	lateKey.Received = late.Received
	byTime := func(c *reportedCore) { c.settings.QueueByTime = true }
	fullQueue := func(c *reportedCore) {
		c.HandleReport(c.now, "owner", call.Load{InFlight: 9, Queued: 18, Limit: 9, Latency: 150 * time.Millisecond, Wait: 300 * time.Millisecond})
	}
	for _, c := range []struct {
		name    string
		request Request
		wait    time.Duration
		before  func(*reportedCore)
		sent    bool
	}{
		{"in time", a, 390 * time.Millisecond, nil, true},
		{"too late", a, 410 * time.Millisecond, nil, false},
		{"key in time", k, 390 * time.Millisecond, nil, true},
		{"key too late", k, 410 * time.Millisecond, nil, false},
		{"other keys do not matter", k, 410 * time.Millisecond, func(c *reportedCore) { c.reportOf("owner", 0) }, true},
		{"late in time for its deadline", late, 410 * time.Millisecond, byTime, true},
		{"late beyond its deadline", late, 510 * time.Millisecond, byTime, false},
		{"late key beyond its deadline", lateKey, 510 * time.Millisecond, byTime, false},
		{"late for a free slot", late, 39 * time.Millisecond, nil, true},
		{"late for a queue bounded by its length", late, 41 * time.Millisecond, nil, false},
		{"full queue", k, 300 * time.Millisecond, fullQueue, false},
		{"full queue bounded by time", k, 300 * time.Millisecond, func(c *reportedCore) { byTime(c); fullQueue(c) }, true},
		{"no time left for its run", k, 380 * time.Millisecond, func(c *reportedCore) { c.runTimes["k"] = 50 * time.Millisecond }, false},
		{"run time above the objective", k, 190 * time.Millisecond, func(c *reportedCore) { c.runTimes["k"] = 900 * time.Millisecond }, true},
		{"nested in time for its deadline", nested, 900 * time.Millisecond, nil, true},
		{"nested beyond its deadline", nested, 1100 * time.Millisecond, nil, false},
		{"higher priority", Request{Path: "/p/"}, 900 * time.Millisecond, nil, true},
		{"resend, which its owner may have answered", resend, 900 * time.Millisecond, nil, true},
		{"one has room", a, 600 * time.Millisecond, func(c *reportedCore) { c.reportOf(routerID(1), 0) }, true},
		{"old reports", a, 2 * time.Second, func(c *reportedCore) { c.now = c.now.Add(301 * time.Millisecond) }, true},
		{"one old report", a, 2 * time.Second, func(c *reportedCore) {
			c.now = c.now.Add(301 * time.Millisecond)
			c.reportOf(routerID(0), 2*time.Second)
			c.reportOf(routerID(2), 2*time.Second)
		}, true},
		{"calls since the report", k, 300 * time.Millisecond, func(c *reportedCore) {
			for range 7 {
				c.ask(Request{Path: "/k/", Numbered: true})
			}
		}, false},
	} {
		core := newReportedCore()
		core.report(c.wait)
		if c.before != nil {
			c.before(core)
		}
		sent, answer := core.ask(c.request)
		assert.Equal(t, sent != nil, c.sent, c.name)
		if answer != nil {
			assert.Equal(t, answer.Verdict, verdict.NotRun, c.name)
			assert.Equal(t, answer.Reason, verdict.ReasonOverloaded, c.name)
			assert.Assert(t, answer.RetryAfter >= minRetryAfter, c.name)
			continue
		}
		if c.name == "one has room" || c.name == "one old report" {
			assert.Equal(t, sent.Router.ID, routerID(1), c.name)
		}
	}
}

// TestWrongReportsAreFoundOut has executors report for good that they are full, which
// none of them is: each must still get one request in 16 that is meant for it. A gateway
// that hears nothing any more must send everything.
func TestWrongReportsAreFoundOut(t *testing.T) {
	for _, r := range []Request{{Path: "/a/"}, {Path: "/k/", Numbered: true}} {
		c := newReportedCore()
		tried := map[fleet.RouterID]int{}
		for range 480 {
			c.now = c.now.Add(10 * time.Millisecond)
			c.report(time.Minute)
			if sent, _ := c.ask(r); sent != nil {
				tried[sent.Router.ID]++
				c.HandleAnswer(c.now, sent.Router.ID, call.Answer{Number: sent.Call.Number, RequestID: "x", Verdict: verdict.Ran})
				c.Take()
			}
		}
		if r.Numbered {
			assert.DeepEqual(t, tried, map[fleet.RouterID]int{"owner": 30})
		} else {
			assert.DeepEqual(t, tried, map[fleet.RouterID]int{routerID(0): 10, routerID(1): 10, routerID(2): 10})
		}
		c.now = c.now.Add(301 * time.Millisecond)
		for range 20 {
			sent, _ := c.ask(r)
			assert.Assert(t, sent != nil)
			c.now = c.now.Add(time.Millisecond)
		}
	}
}

// TestFullOwnerIsAskedOnce guards against tries at the one owner of a key that has just
// refused the request as overloaded. Without reports it is tried again, as before.
func TestFullOwnerIsAskedOnce(t *testing.T) {
	for _, reports := range []bool{false, true} {
		c := newReportedCore()
		c.settings.Balancer.Reports = reports
		sent, _ := c.ask(Request{Path: "/k/", Numbered: true})
		c.HandleAnswer(c.now, "owner", call.Answer{Number: sent.Call.Number, RequestID: "x", Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
		assert.Equal(t, len(c.Take().Replies) == 1, reports)
	}
}

// TestVerdictsWithReports runs the random faults with executors that report random loads.
func TestVerdictsWithReports(t *testing.T) {
	refused := int64(0)
	for seed := range uint64(seeds / 3) {
		sim := newSimulationOf(balancer.Settings{Seed: seed, Self: "entry", DataCentre: "warszawa", Reports: true})
		for range 300 {
			id, wait := routerID(sim.random.IntN(testRouters)), time.Duration(sim.random.IntN(2000))*time.Millisecond
			sim.after(time.Duration(sim.random.IntN(1000))*time.Millisecond, func() {
				sim.core.HandleReport(sim.now, id, call.Load{InFlight: 10, Limit: 10, Latency: 10 * time.Millisecond, Wait: wait})
			})
		}
		checkFaults(t, seed, simulateFaults(sim))
		refused += sim.refused
	}
	assert.Assert(t, refused > 1000, "%d refused", refused)
}

// BenchmarkRefusalByReports measures the refusal of a request when every executor is full.
func BenchmarkRefusalByReports(b *testing.B) {
	for _, count := range []int{5, 20, 300} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			table, view := balancer.NewTable(balancer.Settings{Seed: 1, Reports: true}), fleet.NewView()
			change := &fleet.Change{Full: true, To: 1}
			for i := range count {
				change.Routers = append(change.Routers, testRouter(i))
			}
			view.Apply(change)
			table.Update(view, change)
			now := clock.Instant(time.Hour)
			for i := range count {
				table.Reported(routerID(i), now, call.Load{InFlight: 9, Limit: 9, Latency: 100 * time.Millisecond, Wait: time.Second})
			}
			b.ReportAllocs()
			for range b.N {
				table.Admit("reservations", now, balancer.StartLimit{By: now}, nil)
			}
		})
	}
}

// TestOwnerOfRecordOnlyDelegates has a service without keys whose requests must not run
// twice. It guards against refusals because the owner of the deduplication record is full
// while another executor has room, and against requests that are given up after its refusal.
func TestOwnerOfRecordOnlyDelegates(t *testing.T) {
	c := newReportedCore()
	service := fleet.Service{Name: "d", Shards: 1, RecordWindow: time.Minute, RetryBudget: 1}
	preset := *c.view.Preset
	preset.Services = append(preset.Services, service)
	preset.Routes = append(preset.Routes, fleet.Route{Name: "d", Host: "h", Prefix: "/d/", Timeout: time.Second, Objective: 400 * time.Millisecond,
		MaxUpstreams: 2, Priority: 1, Targets: []fleet.Target{{Service: "d", Weight: 1}}})
	change := &fleet.Change{From: 1, To: 2, Preset: &preset}
	for i := 5; i < 7; i++ {
		change.Routers = append(change.Routers, fleet.Router{ID: routerID(i), Session: 1, DataCentre: "dc", Upstream: fleet.Upstream{Name: "u", Service: "d", Slots: 9}})
	}
	change.Shards = []fleet.Shard{{ID: fleet.ShardID{Service: "d"}, Phase: fleet.ShardGranted, Owner: routerID(5), Session: 1}}
	c.SetView(c.now, change)
	request := Request{Path: "/d/"}
	c.reportOf(routerID(5), 900*time.Millisecond)
	c.reportOf(routerID(6), 0)
	sent, _ := c.ask(request)
	assert.Assert(t, sent != nil && sent.Router.ID == routerID(5))
	c.HandleAnswer(c.now, routerID(5), call.Answer{Number: sent.Call.Number, RequestID: "x", Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded})
	assert.Equal(t, len(c.Take().Replies), 0)
	c.reportOf(routerID(5), 900*time.Millisecond)
	c.reportOf(routerID(6), 900*time.Millisecond)
	sent, _ = c.ask(request)
	assert.Assert(t, sent == nil)
}

// TestMovedKeysWait guards against refusals because of the load of an executor that is about
// to hand over a key, and against redirects that count as failures: a failing executor's
// reports refuse nothing.
func TestMovedKeysWait(t *testing.T) {
	k := Request{Path: "/k/", Numbered: true, KeyNumber: 7}
	c := newReportedCore()
	c.report(900 * time.Millisecond)
	change := &fleet.Change{From: 1, To: 2, KeySpaces: []fleet.KeySpace{{Service: "k", Ranges: []fleet.KeyRange{{First: 0, Last: fleet.KeyCount - 1, Owner: "owner", Boot: "b", Phase: fleet.ShardRevoking}}}}}
	c.SetView(c.now, change)
	sent, _ := c.ask(k)
	assert.Assert(t, sent != nil)

	c = newReportedCore()
	sent, _ = c.ask(k)
	c.report(900 * time.Millisecond)
	c.HandleAnswer(c.now, "owner", call.Answer{Number: sent.Call.Number, RequestID: "x", Verdict: verdict.NotRun, Reason: verdict.ReasonNotOwner})
	assert.Equal(t, len(c.Take().Replies), 0)
	c.now = c.now.Add(minParkDelay)
	c.report(900 * time.Millisecond)
	c.Tick(c.now)
	assert.Equal(t, len(c.Take().Sends), 1)
	sent, _ = c.ask(k)
	assert.Assert(t, sent == nil)
}

// TestRefusedRetryCostsNoToken guards against tokens of the retry budget that are spent on
// retries which the load then forbids.
func TestRefusedRetryCostsNoToken(t *testing.T) {
	c := newReportedCore()
	c.report(0)
	sent, _ := c.ask(Request{Path: "/a/"})
	before := c.service("s").retryBudget.tokens
	c.report(900 * time.Millisecond)
	c.HandleAnswer(c.now, sent.Router.ID, call.Answer{Number: sent.Call.Number, RequestID: "x", Verdict: verdict.NotRun, Reason: verdict.ReasonShed,
		Load: call.Load{InFlight: 9, Limit: 9, Latency: 150 * time.Millisecond, Wait: 900 * time.Millisecond}})
	assert.Equal(t, len(c.Take().Replies), 1)
	assert.Equal(t, c.service("s").retryBudget.tokens, before)
}
