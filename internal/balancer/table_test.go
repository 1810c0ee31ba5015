package balancer

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const (
	service = "reservations"
	typical = 2 * time.Millisecond
	link    = 8 * time.Millisecond
)

// simulation is a gateway's table in virtual time.
type simulation struct {
	table *Table
	view  *fleet.View
	now   clock.Instant
}

func newSimulation(seed uint64, self, centre string, routers ...fleet.Router) *simulation {
	s := &simulation{view: fleet.NewView(), now: clock.Instant(time.Hour), table: NewTable(Settings{
		Seed: seed, Self: fleet.RouterID(self), DataCentre: fleet.DataCentre(centre),
	})}
	s.applyChange(&fleet.Change{Full: true, To: 1, Routers: routers})
	return s
}

func (s *simulation) applyChange(c *fleet.Change) {
	s.view.Apply(c)
	s.table.Update(s.view, c)
}

func testRouter(i int, centre string) fleet.Router {
	name := strconv.Itoa(i)
	return fleet.Router{
		ID: fleet.RouterID("r" + name), Session: fleet.Session(i + 1), DataCentre: fleet.DataCentre(centre),
		Upstream: fleet.Upstream{Name: "u" + name, Service: service, Slots: 10, ColdSlots: 2},
	}
}

func testRouters(n, centres int) []fleet.Router {
	var list []fleet.Router
	for i := range n {
		list = append(list, testRouter(i, "dc"+strconv.Itoa(i%centres)))
	}
	return list
}

// serve sends calls one after the other, each taking the latency given for its executor,
// and returns the number of calls of each.
func (s *simulation) serve(n int, latency func(fleet.Router) time.Duration) map[fleet.RouterID]int {
	got := map[fleet.RouterID]int{}
	for range n {
		router, ok := s.table.Choose(service, s.now, nil)
		if !ok {
			continue
		}
		got[router.ID]++
		o := s.table.Sent(router.ID, s.now)
		s.now = s.now.Add(latency(router))
		s.table.Answered(o, s.now, call.Load{Limit: 10})
	}
	return got
}

// steady returns the typical latency, plus that of the link to another data centre.
func (s *simulation) steady(router fleet.Router) time.Duration {
	if router.DataCentre != s.table.settings.DataCentre {
		return typical + link
	}
	return typical
}

func TestLocalDataCentrePreferredUnlessSlow(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(8, 4)...)
	got := s.serve(2000, s.steady)
	assert.Assert(t, got["r0"]+got["r4"] > 1900, "%v", got)
	slow := s.serve(200, func(r fleet.Router) time.Duration {
		if r.DataCentre == "dc0" {
			return 10 * link
		}
		return typical + link
	})
	assert.Assert(t, slow["r0"]+slow["r4"] < 40, "%v", slow)
	assert.Assert(t, slow["r0"]+slow["r4"] > 0, "slow executors are never probed: %v", slow)
	recovered := s.serve(3000, s.steady)
	assert.Assert(t, recovered["r0"]+recovered["r4"] > 2000, "%v", recovered)
}

// TestLateCallCountsBeforeItsAnswer checks that an executor is avoided as soon as a call
// to it takes longer than estimated.
func TestLateCallCountsBeforeItsAnswer(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(3, 1)...)
	s.serve(100, s.steady)
	late := s.table.Sent("r1", s.now)
	s.now = s.now.Add(10 * typical)
	for range 3 { // the other executors have more calls in flight, but none is late
		s.table.Sent("r0", s.now)
		s.table.Sent("r2", s.now)
	}
	for range 50 {
		router, _ := s.table.Choose(service, s.now, nil)
		assert.Assert(t, router.ID != "r1")
		s.now = s.now.Add(time.Microsecond)
	}
	s.table.Dropped(late)
	assert.Equal(t, s.table.InFlight("r1"), 0)
}

// TestFastRefusalsAndFailuresDoNotAttract has one executor fail or refuse each call much
// faster than others run it.
func TestFastRefusalsAndFailuresDoNotAttract(t *testing.T) {
	for name, end := range map[string]func(*Table, *Outstanding, clock.Instant){
		"failed": func(t *Table, o *Outstanding, now clock.Instant) { t.Failed(o, now) },
		"refused": func(t *Table, o *Outstanding, now clock.Instant) {
			t.Refused(o, now, call.Load{Queued: 60, InFlight: 2, Limit: 2})
		},
	} {
		s := newSimulation(1, "e", "dc0", testRouters(3, 1)...)
		got := map[fleet.RouterID]int{}
		for range 500 {
			router, _ := s.table.Choose(service, s.now, nil)
			got[router.ID]++
			o := s.table.Sent(router.ID, s.now)
			if router.ID == "r1" {
				s.now = s.now.Add(10 * time.Microsecond)
				end(s.table, o, s.now)
				continue
			}
			s.now = s.now.Add(typical)
			s.table.Answered(o, s.now, call.Load{Limit: 10})
		}
		assert.Assert(t, got["r1"] < 25, "%s: %v", name, got)
	}
}

func TestObservedLatencyOutweighsReports(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(2, 1)...)
	got := map[fleet.RouterID]int{}
	for range 500 {
		router, _ := s.table.Choose(service, s.now, nil)
		got[router.ID]++
		o := s.table.Sent(router.ID, s.now)
		load, latency := call.Load{Limit: 10, InFlight: 2}, typical
		if router.ID == "r1" { // reports that it is idle, and is slow
			load, latency = call.Load{Limit: 10, Latency: time.Microsecond}, 20*typical
		}
		s.now = s.now.Add(latency)
		s.table.Answered(o, s.now, load)
	}
	assert.Assert(t, got["r1"] < 25, "%v", got)
}

func TestColdExecutorScoredByItsCapacity(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(2, 1)...)
	s.table.settings.Policy = Estimated
	for i := range 5 { // r0 has samples and is half in use, r1 has both of its cold slots in use
		o := s.table.Sent("r0", s.now)
		if i == 0 {
			s.table.Answered(o, s.now.Add(initialLatency), call.Load{Limit: 10})
		}
	}
	s.table.Sent("r1", s.now)
	s.table.Sent("r1", s.now)
	for range 20 {
		router, _ := s.table.Choose(service, s.now, nil)
		assert.Equal(t, string(router.ID), "r0")
		s.table.Dropped(s.table.Sent("r0", s.now))
	}
}

// TestColdExecutorIsFilledUp has a cold executor with free slots compete with a warm one
// that has more of them.
func TestColdExecutorIsFilledUp(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(2, 1)...)
	for i := range 2 {
		id := testRouter(i, "dc0").ID
		s.table.Answered(s.table.Sent(id, s.now), s.now.Add(typical), call.Load{Limit: 10 - 7*i})
	}
	for range 3 {
		s.table.Sent("r0", s.now)
	}
	for range 2 { // both go to the cold executor
		router, _ := s.table.Choose(service, s.now, nil)
		assert.Equal(t, string(router.ID), "r1")
		s.table.Sent("r1", s.now)
	}
}

func TestOnlyEligibleExecutorsAreChosen(t *testing.T) {
	leaving := testRouter(0, "dc0")
	leaving.Leaving = true
	for _, policy := range []Policy{Estimated, RoundRobin, TwoChoices} {
		s := newSimulation(1, "e", "dc0", append(testRouters(8, 4)[1:], leaving)...)
		s.table.settings.Policy = policy
		s.applyChange(&fleet.Change{From: 1, To: 2, DataCentres: []fleet.DataCentreSetting{{Name: "dc1", Out: true}}, Upstreams: []fleet.UpstreamSetting{{Name: "u2", Out: true}}})
		for range 200 {
			router, ok := s.table.Choose(service, s.now, []fleet.RouterID{"r3", "r4"})
			assert.Assert(t, ok)
			assert.Assert(t, slices.Contains([]fleet.RouterID{"r6", "r7"}, router.ID), "policy %d: %s", policy, router.ID)
		}
		_, ok := s.table.Choose(service, s.now, []fleet.RouterID{"r3", "r4", "r6", "r7"})
		assert.Assert(t, !ok)
	}
}

// TestNewExecutorIsNotOverwhelmed has many gateways choose at the same time right after
// a cold executor has joined: it must get a share of the calls, but not most of them.
func TestNewExecutorIsNotOverwhelmed(t *testing.T) {
	const gateways, joined = 60, 5
	got := 0
	for seed := range uint64(gateways) {
		s := newSimulation(seed, "e"+strconv.Itoa(int(seed)), "dc0", testRouters(joined, 1)...)
		s.serve(100, s.steady)
		for i := range joined { // all executors are busy
			for range 2 {
				s.table.Sent(testRouter(i, "dc0").ID, s.now)
			}
		}
		s.applyChange(&fleet.Change{From: 1, To: 2, Routers: []fleet.Router{testRouter(joined, "dc0")}})
		for range 3 {
			router, _ := s.table.Choose(service, s.now, nil)
			s.table.Sent(router.ID, s.now)
			if router.ID == testRouter(joined, "dc0").ID {
				got++
			}
		}
	}
	assert.Assert(t, got < gateways, "%d of %d calls at the new executor", got, 3*gateways)
	assert.Assert(t, got > gateways/10, "%d of %d calls at the new executor", got, 3*gateways)
}

// TestSubsetIsSmallStableAndEven checks that a gateway uses maxExecutors executors, that
// the removal of one replaces only that one, and that no executor is in many more subsets
// than the others.
func TestSubsetIsSmallStableAndEven(t *testing.T) {
	const n, centres = 2400, 18
	all := testRouters(n, centres)
	counts := map[fleet.RouterID]int{}
	for gateway := range 200 {
		s := newSimulation(1, "r"+strconv.Itoa(gateway), "dc"+strconv.Itoa(gateway%centres), all...)
		local, remote := s.table.pools[service].subset()
		assert.Equal(t, len(local)+len(remote), maxExecutors)
		for _, e := range slices.Concat(local, remote) {
			counts[e.router.ID]++
		}
		if gateway%50 > 0 {
			continue
		}
		before := slices.Clone(local)
		s.applyChange(&fleet.Change{From: 1, To: 2, Removed: []fleet.RouterID{local[3].router.ID}})
		after, _ := s.table.pools[service].subset()
		kept := 0
		for _, e := range after {
			if slices.Contains(before, e) {
				kept++
			}
		}
		assert.Equal(t, kept, maxLocalExecutors-1, "gateway %d", gateway)
	}
	most := slices.Max(mapValues(counts))
	t.Logf("executors in subsets: mean %.1f, most %d, never %d", 200.0*maxExecutors/n, most, n-len(counts))
	assert.Assert(t, most <= 8*200*maxExecutors/n)
}

func mapValues(m map[fleet.RouterID]int) []int {
	var list []int
	for _, v := range m {
		list = append(list, v)
	}
	return list
}

// TestUpdateMatchesRebuild applies random changes one by one and compares the result with
// a table built from the whole view.
func TestUpdateMatchesRebuild(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		s := newSimulation(seed, "e", "dc0", testRouters(12, 3)...)
		for range 30 {
			c := &fleet.Change{From: s.view.Version, To: s.view.Version + 1}
			r := testRouter(random.IntN(16), "dc"+strconv.Itoa(random.IntN(3)))
			switch random.IntN(5) {
			case 0:
				c.Removed = []fleet.RouterID{r.ID}
			case 1:
				r.Leaving = true
				c.Routers = []fleet.Router{r}
			case 2:
				r.Upstream.Service = "payments"
				c.Routers = []fleet.Router{r}
			case 3:
				c.DataCentres = []fleet.DataCentreSetting{{Name: r.DataCentre, Out: random.IntN(2) == 0}}
			default:
				c.Upstreams = []fleet.UpstreamSetting{{Name: r.Upstream.Name, Out: random.IntN(2) == 0}}
			}
			s.applyChange(c)
		}
		fresh := newSimulation(seed, "e", "dc0")
		fresh.applyChange(s.view.Full())
		for _, name := range []string{service, "payments"} {
			for side := range 2 {
				assert.DeepEqual(t, routerIDs(s.table.pool(name).executors[side]), routerIDs(fresh.table.pool(name).executors[side]))
			}
		}
	}
}

func routerIDs(executors []*executor) []fleet.RouterID {
	var list []fleet.RouterID
	for _, e := range executors {
		list = append(list, e.router.ID)
	}
	return list
}

func BenchmarkChoose(b *testing.B) {
	sim := newSimulation(1, "r0", "dc0", testRouters(2400, 18)...)
	b.ReportAllocs()
	for b.Loop() {
		router, _ := sim.table.Choose(service, sim.now, nil)
		sim.table.Answered(sim.table.Sent(router.ID, sim.now), sim.now, call.Load{Limit: 10})
	}
}

// BenchmarkUpdate applies a change of one router and one shard to a view of
// 2,400 routers and 40,000 shards.
func BenchmarkUpdate(b *testing.B) {
	sim := newSimulation(1, "r0", "dc0", testRouters(2400, 18)...)
	full := &fleet.Change{From: 1, To: 2}
	for s := range uint32(40_000) {
		full.Shards = append(full.Shards, fleet.Shard{ID: fleet.ShardID{Service: service, Number: s}})
	}
	sim.applyChange(full)
	b.ReportAllocs()
	for b.Loop() {
		version := sim.view.Version
		sim.applyChange(&fleet.Change{From: version, To: version + 1, Routers: []fleet.Router{testRouter(7, "dc7")}, Shards: full.Shards[:1]})
	}
}

func TestStaleLoadReportDecays(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(2, 1)...)
	for i, load := range []call.Load{{Limit: 10}, {Limit: 10, InFlight: 10, Queued: 50}} {
		s.table.Answered(s.table.Sent(testRouter(i, "dc0").ID, s.now), s.now.Add(typical), load)
	}
	for _, want := range []fleet.RouterID{"r0", "r1"} {
		s.now = s.now.Add(typical)
		o := s.table.Sent("r0", s.now) // one call in flight at r0, not late
		router, _ := s.table.Choose(service, s.now, nil)
		assert.Equal(t, router.ID, want)
		s.table.Dropped(o)
		s.now = s.now.Add(10 * loadReportHalfLife)
	}
}

func TestRemoteDataCentreMustBeClearlyFaster(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(2, 2)...)
	for i := range 2 {
		s.table.Answered(s.table.Sent(testRouter(i, "dc").ID, s.now), s.now.Add(typical), call.Load{Limit: 10})
	}
	for _, want := range []fleet.RouterID{"r0", "r0", "r0", "r1"} { // the fourth time r0 scores 1.3 against 1.25 of r1
		router, _ := s.table.Choose(service, s.now, nil)
		assert.Equal(t, router.ID, want)
		s.table.Sent("r0", s.now)
	}
}

// TestSlowExecutorIsProbedSeldom checks that probes of an executor that stays slow back
// off, but do not stop.
func TestSlowExecutorIsProbedSeldom(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(3, 1)...)
	s.serve(200, s.steady)
	got := s.serve(10_000, func(r fleet.Router) time.Duration { // 20 s
		if r.ID == "r1" {
			return 10 * typical
		}
		return typical
	})
	assert.Assert(t, got["r1"] > 1 && got["r1"] <= 6, "%v", got)
}
