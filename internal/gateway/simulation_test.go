package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const (
	testShards  = 4
	testRouters = 5
)

// scheduledStep is an action at a point of virtual time.
type scheduledStep struct {
	at clock.Instant
	do func()
}

// requestHistory records what really happened to a request.
type requestHistory struct {
	request    Request
	started    clock.Instant
	answeredAt clock.Instant
	verdict    verdict.Verdict
	replies    int
	delivered  int // calls that reached an executor and were not redirected
	runs       int
	sentTo     []fleet.RouterID
	sentAt     clock.Instant // when the last call was sent
}

// simulation drives a core in virtual time, with executors that fail at random, and
// records what really happened to each request.
type simulation struct {
	random   *rand.Rand
	core     *Core
	now      clock.Instant
	steps    []scheduledStep
	requests []*requestHistory
	byID     map[string]*requestHistory
	version  fleet.Version
	service  fleet.Service
	// failureShare is the share of calls that fail.
	failureShare float64
	hedges       int
	// unreachable is a router whose link cannot be opened.
	unreachable fleet.RouterID
	// questions is how many questions are asked after each step.
	questions int
	// checkSend, if set, checks each call that the core sends.
	checkSend   func(*Send)
	cancels     int
	refused     int64                     // because of load reports
	callRouters map[uint64]fleet.RouterID // router of each call by call number
}

func newSimulation(seed uint64) *simulation {
	return newSimulationOf(balancer.Settings{Seed: seed, Self: "entry", DataCentre: "warszawa"})
}

func newSimulationOf(s balancer.Settings) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(s.Seed, 7)), core: New(Settings{Balancer: s}), byID: map[string]*requestHistory{},
		callRouters: map[uint64]fleet.RouterID{},
	}
	sim.service = fleet.Service{
		Name: "reservations", Shards: testShards, HedgeQuantile: 0.9, HedgeBudget: 0.05, RetryBudget: 0.1,
		Operations: []fleet.Operation{
			{Name: "lookup", Idempotent: true, Deadline: 300 * time.Millisecond}, {Name: "reserve", Deadline: 500 * time.Millisecond},
		},
	}
	keyed := sim.service
	keyed.Name, keyed.Keyed = "timetable", true
	sim.core.SetViewLease(clock.Never)
	sim.applyChange(&fleet.Change{Preset: &fleet.Preset{Version: 1, Name: "ordinary", Services: []fleet.Service{sim.service, keyed}}})
	return sim
}

func routerID(i int) fleet.RouterID { return fleet.RouterID("router-" + strconv.Itoa(i)) }

func testRouter(i int) fleet.Router {
	return fleet.Router{
		ID: routerID(i), Session: fleet.Session(i + 1), DataCentre: "warszawa", Address: "a" + strconv.Itoa(i),
		Upstream: fleet.Upstream{Name: "u" + strconv.Itoa(i), Service: "reservations", Slots: 10},
	}
}

func (sim *simulation) applyChange(c *fleet.Change) {
	c.From, c.To = sim.version, sim.version+1
	sim.version++
	if !sim.core.SetView(sim.now, c) {
		panic("change does not follow the view's version")
	}
}

func (sim *simulation) addRouter(i int) {
	sim.applyChange(&fleet.Change{Routers: []fleet.Router{testRouter(i)}})
}

func (sim *simulation) grantShard(shard uint32, i int) {
	sim.applyChange(&fleet.Change{Shards: []fleet.Shard{{
		ID: fleet.ShardID{Service: "reservations", Number: shard}, Phase: fleet.ShardGranted,
		Owner: routerID(i), Session: fleet.Session(i + 1), Epoch: fleet.Epoch(sim.version),
	}}})
}

func (sim *simulation) freeShard(shard uint32) {
	sim.applyChange(&fleet.Change{Shards: []fleet.Shard{{ID: fleet.ShardID{Service: "reservations", Number: shard}}}})
}

func (sim *simulation) after(d time.Duration, do func()) {
	at := sim.now.Add(d)
	i, _ := slices.BinarySearchFunc(sim.steps, at, func(s scheduledStep, at clock.Instant) int {
		if s.at > at {
			return 1
		}
		return -1
	})
	sim.steps = slices.Insert(sim.steps, i, scheduledStep{at: at, do: do})
}

func (sim *simulation) start(operation string, delegated bool) {
	history := &requestHistory{started: sim.now, request: Request{
		Token: uint64(len(sim.requests) + 1), ID: "r" + strconv.Itoa(len(sim.requests)), Service: "reservations",
		Operation: operation, Delegated: delegated,
	}}
	sim.requests = append(sim.requests, history)
	sim.byID[history.request.ID] = history
	sim.core.Start(sim.now, history.request)
}

// run performs all scheduled steps and fires the core's timers between them.
func (sim *simulation) run() {
	sim.dispatch()
	for len(sim.steps) > 0 || sim.core.Len() > 0 {
		next := sim.core.Deadline()
		if len(sim.steps) > 0 && sim.steps[0].at <= next {
			s := sim.steps[0]
			sim.steps = sim.steps[1:]
			sim.now = s.at
			s.do()
		} else {
			sim.now = next
			sim.core.Tick(sim.now)
		}
		sim.dispatch()
	}
}

func (sim *simulation) dispatch() {
	for range sim.questions {
		sim.core.ExplainWhere(sim.now, &Question{Service: "reservations", Operation: "lookup"})
		sim.core.ExplainWhere(sim.now, &Question{Service: "reservations", Operation: "reserve"})
	}
	for {
		out := sim.core.Take()
		for _, reply := range out.Replies {
			p := sim.requests[reply.Token-1]
			p.replies++
			p.answeredAt, p.verdict = sim.now, reply.Answer.Verdict
		}
		sim.cancels += len(out.Cancels)
		sim.refused += out.Refused
		for _, s := range out.Sends {
			sim.deliver(s)
		}
		if len(out.Sends) == 0 {
			return
		}
	}
}

// deliver simulates the executor that receives a call.
func (sim *simulation) deliver(s Send) {
	if sim.checkSend != nil {
		sim.checkSend(&s)
	}
	history := sim.byID[s.Call.RequestID]
	history.sentTo, history.sentAt = append(history.sentTo, s.Router.ID), sim.now
	sim.callRouters[s.Call.Number] = s.Router.ID
	if s.Call.Hedge {
		sim.hedges++
	}
	if s.Router.ID == sim.unreachable {
		sim.after(time.Millisecond, func() { sim.core.HandleLostCall(sim.now, s.Call.Number, verdict.NotRun) })
		return
	}
	delay := time.Duration(sim.random.IntN(20_000)) * time.Microsecond
	if sim.random.Float64() >= sim.failureShare {
		history.delivered++
		sim.after(delay, func() { history.runs++; sim.answer(&s, verdict.Ran, verdict.ReasonNone) })
		return
	}
	sim.injectCallFault(history, s, delay)
}

// injectCallFault makes a call fail in one of several ways.
func (sim *simulation) injectCallFault(history *requestHistory, s Send, delay time.Duration) {
	reasons := []verdict.Reason{verdict.ReasonNotOwner, verdict.ReasonNoUpstream, verdict.ReasonLeaseExpired}
	fault := sim.random.IntN(8)
	if fault != 0 && fault != 2 {
		history.delivered++
	}
	sim.after(delay, func() {
		switch fault {
		case 0: // redirected
			sim.answer(&s, verdict.NotRun, reasons[sim.random.IntN(len(reasons))])
		case 1: // refused
			sim.answer(&s, verdict.NotRun, verdict.ReasonOverloaded)
		case 2: // link lost before the call was handed over
			sim.core.HandleLostCall(sim.now, s.Call.Number, verdict.NotRun)
		case 3: // ran, answer lost
			history.runs++
			sim.core.HandleLostCall(sim.now, s.Call.Number, verdict.MayHaveRun)
		case 4: // lost before it ran
			sim.core.HandleLostCall(sim.now, s.Call.Number, verdict.MayHaveRun)
		case 5: // runs, never answers
			history.runs++
		case 6: // runs, answers twice long after the deadline
			history.runs++
			sim.after(600*time.Millisecond, func() {
				sim.answer(&s, verdict.Ran, verdict.ReasonNone)
				sim.answer(&s, verdict.Ran, verdict.ReasonNone)
			})
		case 7: // mismatched answers, then may-have-run
			sim.mismatchedAnswers(&s)
			sim.answer(&s, verdict.MayHaveRun, verdict.ReasonConnection)
		}
	})
}

func (sim *simulation) answer(s *Send, v verdict.Verdict, reason verdict.Reason) {
	sim.core.HandleAnswer(sim.now, s.Router.ID, call.Answer{
		Number: s.Call.Number, RequestID: s.Call.RequestID, Verdict: v, Reason: reason, Load: call.Load{Limit: 10},
	})
}

// mismatchedAnswers sends answers whose request ID, router or number does not match the
// call. They must be dropped.
func (sim *simulation) mismatchedAnswers(s *Send) {
	sim.core.HandleAnswer(sim.now, s.Router.ID, call.Answer{Number: s.Call.Number, RequestID: "another", Verdict: verdict.Ran})
	sim.core.HandleAnswer(sim.now, "another", call.Answer{Number: s.Call.Number, RequestID: s.Call.RequestID, Verdict: verdict.Ran})
	sim.core.HandleAnswer(sim.now, s.Router.ID, call.Answer{Number: s.Call.Number + 1<<40, RequestID: s.Call.RequestID, Verdict: verdict.Ran})
}

func routerChange(r fleet.Router) *fleet.Change { return &fleet.Change{Routers: []fleet.Router{r}} }
