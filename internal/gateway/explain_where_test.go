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

// simulateQuestions runs a simulation with faults and load reports, and asks a number of
// questions after each step.
func simulateQuestions(seed uint64, reports bool, questions int) *simulation {
	sim := newSimulationOf(balancer.Settings{Seed: seed, Self: "entry", DataCentre: "warszawa", Reports: reports})
	sim.questions = questions
	for range 300 {
		id, wait := routerID(sim.random.IntN(testRouters)), time.Duration(sim.random.IntN(2000))*time.Millisecond
		sim.after(time.Duration(sim.random.IntN(1000))*time.Millisecond, func() {
			sim.core.HandleReport(sim.now, id, call.Load{InFlight: 10, Limit: 10, Latency: 10 * time.Millisecond, Wait: wait})
		})
	}
	return simulateFaults(sim)
}

// Guards against a question that draws from the requests' random numbers, or changes a
// budget, an estimate or a timer: with questions, requests must take the same course.
func TestQuestionsChangeNothing(t *testing.T) {
	for seed := range uint64(40) {
		plain, asked := simulateQuestions(seed, seed%2 == 0, 0), simulateQuestions(seed, seed%2 == 0, 10)
		assert.Equal(t, len(plain.requests), len(asked.requests))
		for i, r := range plain.requests {
			other := asked.requests[i]
			assert.DeepEqual(t, r.sentTo, other.sentTo)
			assert.Assert(t, r.verdict == other.verdict && r.answeredAt == other.answeredAt && r.runs == other.runs, "seed %d: %s", seed, r.request.ID)
		}
		assert.Assert(t, plain.hedges == asked.hedges && plain.refused == asked.refused, "seed %d", seed)
	}
}

// Guards against an answer that differs from the decision by load reports: in time, too
// late, and by reports that are too old.
func TestAnswersAgreeWithRefusalsByLoad(t *testing.T) {
	for _, path := range []string{"/a/", "/k/", "/p/"} {
		for wait := time.Duration(0); wait < 1200*time.Millisecond; wait += 30 * time.Millisecond {
			for _, age := range []time.Duration{0, 100 * time.Millisecond, 301 * time.Millisecond} {
				c := newReportedCore()
				c.report(wait)
				c.now = c.now.Add(age)
				w := c.ExplainWhere(c.now, &Question{Method: "GET", Host: "h", Path: path, Numbered: true, KeyNumber: 7})
				send, answer := c.ask(Request{Path: path, Numbered: true, KeyNumber: 7})
				assert.Assert(t, (w.Decision == Sent) == (send != nil), "%s, wait %v, age %v: %+v", path, wait, age, w)
				assert.Assert(t, answer == nil || answer.Reason == w.Reason)
			}
		}
	}
}

func routedCore() *Core {
	c := New(Settings{Balancer: balancer.Settings{Seed: 3, Self: "entry", DataCentre: "warszawa"}})
	c.SetViewLease(clock.Never)
	change := &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{
		Services: []fleet.Service{{Name: "a"}, {Name: "b"}, {Name: "ranged", Keyed: true, Ranged: true}},
		Routes: []fleet.Route{
			{Name: "split", Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Second, Targets: []fleet.Target{{Service: "a", Weight: 7}, {Service: "b", Weight: 3}}},
			{Name: "keys", Host: "h", Prefix: "/keys/", Timeout: time.Second, Targets: []fleet.Target{{Service: "ranged", Weight: 1}}},
		},
	}}
	for i := range 12 {
		r := testRouter(i)
		r.Upstream.Service = []string{"a", "b"}[i%2]
		change.Routers = append(change.Routers, r)
	}
	c.SetView(0, change)
	return c
}

// Guards against a question that advances a split, and against an answer that differs from
// what the core then does with the request.
func TestAnswersAgreeWithDecisions(t *testing.T) {
	asked, plain := routedCore(), routedCore()
	q := &Question{Method: "GET", Host: "h", Path: "/x"}
	for i := range 200 {
		now := clock.Instant(i) * clock.Instant(time.Millisecond)
		var w Whereabouts
		for range 1000 {
			w = asked.ExplainWhere(now, q)
		}
		r := Request{Token: uint64(i + 1), ID: strconv.Itoa(i), Method: "GET", Host: "h", Path: "/x"}
		asked.Start(now, r)
		plain.Start(now, r)
		got, want := asked.Take().Sends[0], plain.Take().Sends[0]
		assert.Equal(t, got.Router.ID, want.Router.ID, "request %d", i)
		assert.Equal(t, w.Decision, Sent)
		assert.Equal(t, w.Service, got.Call.Service)
		assert.Equal(t, len(w.Candidates), 6)
	}
}

// Guards against an answer that promises a request that the core would refuse or park.
func TestRefusalsAreExplained(t *testing.T) {
	c := routedCore()
	for name, test := range map[string]struct {
		question Question
		decision Decision
		reason   verdict.Reason
	}{
		"route":     {Question{Method: "GET", Host: "other", Path: "/"}, Refused, verdict.ReasonUnknownRoute},
		"key":       {Question{Method: "GET", Host: "h", Path: "/keys/"}, Refused, verdict.ReasonMissingKey},
		"owner":     {Question{Method: "GET", Host: "h", Path: "/keys/", Numbered: true, KeyNumber: 7}, Parked, verdict.ReasonNoOwner},
		"service":   {Question{Service: "c", Operation: "o"}, Refused, verdict.ReasonUnknownService},
		"operation": {Question{Service: "a", Operation: "o"}, Refused, verdict.ReasonUnknownOp},
	} {
		w := c.ExplainWhere(0, &test.question)
		assert.Check(t, w.Decision == test.decision && w.Reason == test.reason && w.Why != "", "%s: %+v", name, w)
	}
	c.SetViewLease(5)
	assert.Equal(t, c.ExplainWhere(5, &Question{Service: "a", Operation: "o"}).Reason, verdict.ReasonViewStale)
}
