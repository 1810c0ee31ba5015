package gateway

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const (
	loadSlots    = 9
	loadRouters  = 8
	loadTimeout  = time.Second
	loadGrain    = time.Millisecond
	loadLocation = "dc"
	// reportedAfterCall is how long after its last call a gateway gets reports, as from the
	// executor duty.
	reportedAfterCall = 2 * time.Second
)

// loadRouter is a gateway and an executor with its upstream.
type loadRouter struct {
	gateway  *Core
	executor *executor.Core
	schedule executor.ReportSchedule
	// lastCalls is when each gateway sent its last call to this executor.
	lastCalls [loadRouters]clock.Instant
	submitted int
}

// loadCaller is a caller's request through its tries.
type loadCaller struct {
	at    clock.Instant
	route string
	tries int
}

// loadWorld runs gateways and executors of one data centre in virtual time. Requests of
// routes a (120 ms, objective 400 ms) and b (90 ms, 300 ms, later in rank) come as often.
// Run times have a coefficient of variation of 0.8. Callers come back once, after the
// Retry-After or a third of the time that they have left.
type loadWorld struct {
	random  *rand.Rand
	now     clock.Instant
	routers []*loadRouter
	steps   map[clock.Instant][]func()
	callers map[uint64]*loadCaller
	token   uint64
	// inTime and late count served requests, refused those that gave up, tries the calls
	// refused by executors.
	inTime, late, refused, tries, unsent int
}

func newLoadWorld(seed uint64, reports bool) *loadWorld {
	w := &loadWorld{random: rand.New(rand.NewPCG(seed, 5)), now: clock.Instant(time.Hour), steps: map[clock.Instant][]func(){}, callers: map[uint64]*loadCaller{}}
	route := func(name string, priority int, objective time.Duration) fleet.Route {
		return fleet.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: loadTimeout, Objective: objective, MaxUpstreams: 2, Priority: priority,
			Idempotent: true, Targets: []fleet.Target{{Service: "s", Weight: 1}}}
	}
	change := fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{
		Services: []fleet.Service{{Name: "s", QueueLimit: 18, RetryBudget: 0.1}},
		Routes:   []fleet.Route{route("a", 1, 400*time.Millisecond), route("b", 2, 300*time.Millisecond)},
	}}
	for i := range loadRouters {
		change.Routers = append(change.Routers, fleet.Router{ID: routerID(i), Session: 1, DataCentre: loadLocation,
			Upstream: fleet.Upstream{Name: "u", Service: "s", Boot: "1", Slots: loadSlots, ColdSlots: loadSlots}})
	}
	for i := range loadRouters {
		r := &loadRouter{executor: executor.New(routerID(i), loadLocation), gateway: New(Settings{
			Balancer: balancer.Settings{Seed: seed + uint64(i), Self: routerID(i), DataCentre: loadLocation, Reports: reports}})}
		copied := change
		r.gateway.SetView(w.now, &copied)
		r.gateway.SetViewLease(clock.Never)
		r.executor.SetView(w.now, &copied)
		r.executor.SetLease(w.now, 1, clock.Never, clock.Never)
		r.executor.Announce(w.now, change.Routers[i].Upstream)
		w.routers = append(w.routers, r)
	}
	return w
}

func (w *loadWorld) after(d time.Duration, do func()) {
	at := w.now.Add(max(d, loadGrain)) / clock.Instant(loadGrain) * clock.Instant(loadGrain)
	w.steps[at] = append(w.steps[at], do)
}

// run offers a load relative to the slots of all upstreams.
func (w *loadWorld) run(d time.Duration, load float64) {
	perStep := load * loadSlots * loadRouters / float64(105*time.Millisecond/loadGrain)
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(loadGrain) {
		for _, do := range w.steps[w.now] {
			do()
		}
		delete(w.steps, w.now)
		for p := w.random.ExpFloat64(); p < perStep; p += w.random.ExpFloat64() {
			w.ask(&loadCaller{at: w.now, route: string("ab"[w.random.IntN(2)])})
		}
		for i, r := range w.routers {
			if r.executor.Deadline() <= w.now {
				r.executor.Tick(w.now)
			}
			if r.gateway.Deadline() <= w.now {
				r.gateway.Tick(w.now)
			}
			w.carryOut(i)
			load := r.executor.Load()
			if r.schedule.Due(w.now, &load) {
				for g, to := range w.routers {
					if w.now.Sub(r.lastCalls[g]) > reportedAfterCall {
						continue
					}
					w.after(loadGrain, func() { to.gateway.HandleReport(w.now, routerID(i), load) })
				}
			}
		}
	}
}

func (w *loadWorld) ask(c *loadCaller) { w.askAt(w.random.IntN(loadRouters), c) }

// askAt starts the request of a caller at a gateway.
func (w *loadWorld) askAt(i int, c *loadCaller) {
	c.tries++
	w.token++
	w.callers[w.token] = c
	w.routers[i].gateway.Start(w.now, Request{
		Token: w.token, ID: strconv.FormatUint(w.token, 10), Method: "GET", Host: "h", Path: "/" + c.route + "/", Timeout: loadTimeout - w.now.Sub(c.at),
	})
	w.carryOut(i)
}

// carryOut does what the cores of a router ask for.
func (w *loadWorld) carryOut(i int) {
	r := w.routers[i]
	out := r.gateway.Take()
	w.unsent += int(out.Refused)
	for _, s := range out.Sends {
		to := int(s.Router.ID[len(s.Router.ID)-1] - '0')
		w.after(loadGrain, func() {
			w.routers[to].lastCalls[i] = w.now
			w.routers[to].submitted++
			w.routers[to].executor.Submit(w.now, executor.Ticket{Link: uint64(i), Number: s.Call.Number}, s.Call)
			w.carryOut(to)
		})
	}
	for _, reply := range out.Replies {
		w.reply(reply)
	}
	done := r.executor.Take()
	for _, run := range done.Runs {
		mean := 120.0
		if run.Call.Operation == "b" {
			mean = 90
		}
		const sigma = 0.703
		took := time.Duration(mean * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2) * float64(time.Millisecond))
		w.after(took, func() {
			r.executor.Complete(w.now, executor.Outcome{Run: run.ID, Health: admission.Good, Answer: call.Answer{
				Number: run.Call.Number, RequestID: run.Call.RequestID, Verdict: verdict.Ran, Status: 200}})
			w.carryOut(i)
		})
	}
	for _, reply := range done.Replies {
		if reply.Answer.Verdict == verdict.NotRun {
			w.tries++
		}
		w.after(loadGrain, func() {
			w.routers[reply.Ticket.Link].gateway.HandleAnswer(w.now, routerID(i), reply.Answer)
			w.carryOut(int(reply.Ticket.Link))
		})
	}
}

func (w *loadWorld) reply(reply Reply) {
	c := w.callers[reply.Token]
	delete(w.callers, reply.Token)
	left := loadTimeout - w.now.Sub(c.at)
	objective := 400 * time.Millisecond
	if c.route == "b" {
		objective = 300 * time.Millisecond
	}
	switch {
	case reply.Answer.Verdict == verdict.Ran && loadTimeout-left <= objective:
		w.inTime++
	case reply.Answer.Verdict == verdict.Ran:
		w.late++
	case c.tries < 2 && left > 0:
		w.after(min(reply.Answer.RetryAfter, left/3), func() { w.ask(c) })
	default:
		w.refused++
	}
}

// TestRefusalsAtGatewaysReplaceTries has 0.95 to 2 times the load that the upstreams can
// serve. With reports, hardly fewer requests must be served in time, and executors must
// refuse less: by the requests' objectives alone, without what executors need beyond them,
// they refused as many calls as without reports.
func TestRefusalsAtGatewaysReplaceTries(t *testing.T) {
	for _, c := range []struct{ load, inTime, tries float64 }{{0.95, 0.98, 1.25}, {1.4, 0.97, 0.8}, {2, 1, 0.5}} {
		before, with := newLoadWorld(1, false), newLoadWorld(1, true)
		before.run(20*time.Second, c.load)
		with.run(20*time.Second, c.load)
		assert.Assert(t, float64(with.inTime) >= c.inTime*float64(before.inTime), "load %.2f: %d in time, %d without", c.load, with.inTime, before.inTime)
		assert.Assert(t, with.triesPerServed() <= c.tries*before.triesPerServed(), "load %.2f: %.2f calls refused for each served, %.2f without",
			c.load, with.triesPerServed(), before.triesPerServed())
	}
}

// triesPerServed returns the calls that executors refused for each request served.
func (w *loadWorld) triesPerServed() float64 { return float64(w.tries) / float64(w.inTime+w.late) }

// TestLowLoadIsSpread has 2% to 50% of the load that the upstreams can serve. It guards
// against gateways that send everything to the executors that have reported last. No
// executor may get more than 1.5 times its share. The lower loads run for longer, so that
// chance alone does not make the difference.
func TestLowLoadIsSpread(t *testing.T) {
	for _, load := range []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.5} {
		w := newLoadWorld(1, true)
		w.run(time.Duration(max(30, 6/load))*time.Second, load)
		total, most := 0, 0
		for _, r := range w.routers {
			total, most = total+r.submitted, max(most, r.submitted)
		}
		t.Logf("load %.2f: %.2f times the share", load, float64(most*loadRouters)/float64(total))
		assert.Assert(t, float64(most*loadRouters) <= 1.5*float64(total), "load %.2f: %d of %d calls to one of %d executors", load, most, total, loadRouters)
	}
}

// TestGatewayWithFewRequestsUsesAllExecutors has one gateway with a request every 100 ms.
// It guards against the same, since executors that it does not call send it no reports, and
// against executors that one long run excludes for good.
func TestGatewayWithFewRequestsUsesAllExecutors(t *testing.T) {
	w := newLoadWorld(1, true)
	for range 200 {
		w.askAt(0, &loadCaller{at: w.now, route: "a"})
		w.run(100*time.Millisecond, 0)
	}
	for i, r := range w.routers {
		assert.Assert(t, r.submitted >= 3, "executor %d got %d of 200 calls", i, r.submitted)
	}
}
