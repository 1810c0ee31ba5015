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

// step is something that happens in the world at an instant.
type step struct {
	at clock.Instant
	do func()
}

// truth is what really became of one request.
type truth struct {
	request  Request
	started  clock.Instant
	finished clock.Instant
	verdict  verdict.Verdict
	finishes int
	handed   int // calls that reached a door and were not redirected
	runs     int
	sentTo   []fleet.RouterID
	sentAt   clock.Instant // the last call
}

// world drives a core in virtual time with doors that fail at random and keep
// the truth.
type world struct {
	random   *rand.Rand
	core     *Core
	now      clock.Instant
	steps    []step
	requests []*truth
	byID     map[string]*truth
	version  fleet.Version
	service  fleet.Service
	// failing is the share of calls that end otherwise than well.
	failing float64
	hedges  int
	// unreachable is a router whose link cannot be opened.
	unreachable fleet.RouterID
	cancels     int
	affected    map[uint64]fleet.RouterID // calls under way by number
}

func newWorld(seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), core: New(Settings{Routing: balancer.Settings{Seed: seed, Self: "entry", DataCentre: "warszawa"}}), byID: map[string]*truth{},
		affected: map[uint64]fleet.RouterID{},
	}
	w.service = fleet.Service{
		Name: "reservations", Shards: testShards, HedgeQuantile: 0.9, HedgeBudget: 0.05, RetryBudget: 0.1,
		Operations: []fleet.Operation{
			{Name: "lookup", Idempotent: true, Deadline: 300 * time.Millisecond}, {Name: "reserve", Deadline: 500 * time.Millisecond},
		},
	}
	keyed := w.service
	keyed.Name, keyed.Keyed = "timetable", true
	w.core.SetViewLease(clock.Never)
	w.change(&fleet.Change{Preset: &fleet.Preset{Version: 1, Name: "ordinary", Services: []fleet.Service{w.service, keyed}}})
	return w
}

func routerID(i int) fleet.RouterID { return fleet.RouterID("router-" + strconv.Itoa(i)) }

func testRouter(i int) fleet.Router {
	return fleet.Router{
		ID: routerID(i), Session: fleet.Session(i + 1), DataCentre: "warszawa", Address: "a" + strconv.Itoa(i),
		Upstream: fleet.Upstream{Name: "u" + strconv.Itoa(i), Service: "reservations", Slots: 10},
	}
}

func (w *world) change(c *fleet.Change) {
	c.From, c.To = w.version, w.version+1
	w.version++
	if !w.core.SetView(w.now, c) {
		panic("change does not fit")
	}
}

func (w *world) join(i int) { w.change(&fleet.Change{Routers: []fleet.Router{testRouter(i)}}) }

func (w *world) own(shard uint32, i int) {
	w.change(&fleet.Change{Shards: []fleet.Shard{{
		ID: fleet.ShardID{Service: "reservations", Number: shard}, Phase: fleet.ShardGranted,
		Owner: routerID(i), Session: fleet.Session(i + 1), Epoch: fleet.Epoch(w.version),
	}}})
}

func (w *world) free(shard uint32) {
	w.change(&fleet.Change{Shards: []fleet.Shard{{ID: fleet.ShardID{Service: "reservations", Number: shard}}}})
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now.Add(d)
	i, _ := slices.BinarySearchFunc(w.steps, at, func(s step, at clock.Instant) int {
		if s.at > at {
			return 1
		}
		return -1
	})
	w.steps = slices.Insert(w.steps, i, step{at: at, do: do})
}

func (w *world) start(operation string, delegated bool) {
	t := &truth{started: w.now, request: Request{
		Token: uint64(len(w.requests) + 1), ID: "r" + strconv.Itoa(len(w.requests)), Service: "reservations",
		Operation: operation, Delegated: delegated,
	}}
	w.requests = append(w.requests, t)
	w.byID[t.request.ID] = t
	w.core.Start(w.now, t.request)
}

// run performs every step, and the core's timers in between.
func (w *world) run() {
	w.dispatch()
	for len(w.steps) > 0 || w.core.Len() > 0 {
		next := w.core.Deadline()
		if len(w.steps) > 0 && w.steps[0].at <= next {
			s := w.steps[0]
			w.steps = w.steps[1:]
			w.now = s.at
			s.do()
		} else {
			w.now = next
			w.core.Tick(w.now)
		}
		w.dispatch()
	}
}

func (w *world) dispatch() {
	for {
		out := w.core.Take()
		for _, f := range out.Finishes {
			t := w.requests[f.Token-1]
			t.finishes++
			t.finished, t.verdict = w.now, f.Answer.Verdict
		}
		w.cancels += len(out.Cancels)
		for _, s := range out.Sends {
			w.receive(s)
		}
		if len(out.Sends) == 0 {
			return
		}
	}
}

// receive is a door that gets a call.
func (w *world) receive(s Send) {
	t := w.byID[s.Call.RequestID]
	t.sentTo, t.sentAt = append(t.sentTo, s.Router.ID), w.now
	w.affected[s.Call.Number] = s.Router.ID
	if s.Call.Hedge {
		w.hedges++
	}
	if s.Router.ID == w.unreachable {
		w.after(time.Millisecond, func() { w.core.Lost(w.now, s.Call.Number, verdict.NotRun) })
		return
	}
	delay := time.Duration(w.random.IntN(20_000)) * time.Microsecond
	if w.random.Float64() >= w.failing {
		t.handed++
		w.after(delay, func() { t.runs++; w.answer(&s, verdict.Ran, verdict.ReasonNone) })
		return
	}
	w.fail(t, s, delay)
}

// fail makes one of the faults happen to a call.
func (w *world) fail(t *truth, s Send, delay time.Duration) {
	reasons := []verdict.Reason{verdict.ReasonNotOwner, verdict.ReasonNoUpstream, verdict.ReasonLeaseExpired}
	fault := w.random.IntN(8)
	if fault != 0 && fault != 2 {
		t.handed++
	}
	w.after(delay, func() {
		switch fault {
		case 0: // redirected
			w.answer(&s, verdict.NotRun, reasons[w.random.IntN(len(reasons))])
		case 1: // refused
			w.answer(&s, verdict.NotRun, verdict.ReasonOverloaded)
		case 2: // never handed over
			w.core.Lost(w.now, s.Call.Number, verdict.NotRun)
		case 3: // ran, answer lost
			t.runs++
			w.core.Lost(w.now, s.Call.Number, verdict.MayHaveRun)
		case 4: // lost before it ran
			w.core.Lost(w.now, s.Call.Number, verdict.MayHaveRun)
		case 5: // silent for good
			t.runs++
		case 6: // runs, answers long after the deadline and twice
			t.runs++
			w.after(600*time.Millisecond, func() {
				w.answer(&s, verdict.Ran, verdict.ReasonNone)
				w.answer(&s, verdict.Ran, verdict.ReasonNone)
			})
		case 7: // crossed answers first, then an unknown outcome
			w.crossed(&s)
			w.answer(&s, verdict.MayHaveRun, verdict.ReasonConnection)
		}
	})
}

func (w *world) answer(s *Send, v verdict.Verdict, reason verdict.Reason) {
	w.core.Answered(w.now, s.Router.ID, call.Answer{
		Number: s.Call.Number, RequestID: s.Call.RequestID, Verdict: v, Reason: reason, Load: call.Load{Limit: 10},
	})
}

// crossed sends answers that do not belong to the call.
func (w *world) crossed(s *Send) {
	w.core.Answered(w.now, s.Router.ID, call.Answer{Number: s.Call.Number, RequestID: "another", Verdict: verdict.Ran})
	w.core.Answered(w.now, "another", call.Answer{Number: s.Call.Number, RequestID: s.Call.RequestID, Verdict: verdict.Ran})
	w.core.Answered(w.now, s.Router.ID, call.Answer{Number: s.Call.Number + 1<<40, RequestID: s.Call.RequestID, Verdict: verdict.Ran})
}

func leaving(r fleet.Router) *fleet.Change { return &fleet.Change{Routers: []fleet.Router{r}} }
