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

// bench is an entry with a table, in virtual time.
type bench struct {
	table *Table
	view  *fleet.View
	now   clock.Instant
}

func newBench(seed uint64, self, centre string, routers ...fleet.Router) *bench {
	b := &bench{view: fleet.NewView(), now: clock.Instant(time.Hour), table: NewTable(Settings{
		Seed: seed, Self: fleet.RouterID(self), DataCentre: fleet.DataCentre(centre),
	})}
	b.apply(&fleet.Change{Full: true, To: 1, Routers: routers})
	return b
}

func (b *bench) apply(c *fleet.Change) {
	b.view.Apply(c)
	b.table.Update(b.view, c)
}

func door(i int, centre string) fleet.Router {
	name := strconv.Itoa(i)
	return fleet.Router{
		ID: fleet.RouterID("r" + name), Session: fleet.Session(i + 1), DataCentre: fleet.DataCentre(centre),
		Upstream: fleet.Upstream{Name: "u" + name, Service: service, Slots: 10, ColdSlots: 2},
	}
}

func doors(n, centres int) []fleet.Router {
	var list []fleet.Router
	for i := range n {
		list = append(list, door(i, "dc"+strconv.Itoa(i%centres)))
	}
	return list
}

// serve sends calls one after the other, each taking as long as its door says,
// and returns how many each door got.
func (b *bench) serve(n int, latency func(fleet.Router) time.Duration) map[fleet.RouterID]int {
	got := map[fleet.RouterID]int{}
	for range n {
		router, ok := b.table.Choose(service, b.now, nil)
		if !ok {
			continue
		}
		got[router.ID]++
		o := b.table.Sent(router.ID, b.now)
		b.now = b.now.Add(latency(router))
		b.table.Answered(o, b.now, call.Load{Limit: 10})
	}
	return got
}

func (b *bench) steady(router fleet.Router) time.Duration {
	if router.DataCentre != b.table.settings.DataCentre {
		return typical + link
	}
	return typical
}

func TestOwnDataCentreFirstUnlessItIsSlow(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(8, 4)...)
	got := b.serve(2000, b.steady)
	assert.Assert(t, got["r0"]+got["r4"] > 1900, "%v", got)
	slow := b.serve(200, func(r fleet.Router) time.Duration {
		if r.DataCentre == "dc0" {
			return 10 * link
		}
		return typical + link
	})
	assert.Assert(t, slow["r0"]+slow["r4"] < 40, "%v", slow)
	assert.Assert(t, slow["r0"]+slow["r4"] > 0, "slow doors are never asked again: %v", slow)
	recovered := b.serve(3000, b.steady)
	assert.Assert(t, recovered["r0"]+recovered["r4"] > 2000, "%v", recovered)
}

func TestLateCallCountsBeforeItsAnswer(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(3, 1)...)
	b.serve(100, b.steady)
	late := b.table.Sent("r1", b.now)
	b.now = b.now.Add(10 * typical)
	for range 3 { // the others have more calls, but none is late
		b.table.Sent("r0", b.now)
		b.table.Sent("r2", b.now)
	}
	for range 50 {
		router, _ := b.table.Choose(service, b.now, nil)
		assert.Assert(t, router.ID != "r1")
		b.now = b.now.Add(time.Microsecond)
	}
	b.table.Dropped(late)
	assert.Equal(t, b.table.InFlight("r1"), 0)
}

func TestFastRefusalsAndFailuresDoNotAttract(t *testing.T) {
	for name, end := range map[string]func(*Table, *Outstanding, clock.Instant){
		"failed": func(t *Table, o *Outstanding, now clock.Instant) { t.Failed(o, now) },
		"refused": func(t *Table, o *Outstanding, now clock.Instant) {
			t.Refused(o, now, call.Load{Queued: 60, InFlight: 2, Limit: 2})
		},
	} {
		b := newBench(1, "e", "dc0", doors(3, 1)...)
		got := map[fleet.RouterID]int{}
		for range 500 {
			router, _ := b.table.Choose(service, b.now, nil)
			got[router.ID]++
			o := b.table.Sent(router.ID, b.now)
			if router.ID == "r1" {
				b.now = b.now.Add(10 * time.Microsecond)
				end(b.table, o, b.now)
				continue
			}
			b.now = b.now.Add(typical)
			b.table.Answered(o, b.now, call.Load{Limit: 10})
		}
		assert.Assert(t, got["r1"] < 25, "%s: %v", name, got)
	}
}

func TestObservedLatencyOutweighsReports(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(2, 1)...)
	got := map[fleet.RouterID]int{}
	for range 500 {
		router, _ := b.table.Choose(service, b.now, nil)
		got[router.ID]++
		o := b.table.Sent(router.ID, b.now)
		load, latency := call.Load{Limit: 10, InFlight: 2}, typical
		if router.ID == "r1" { // claims to be idle and takes long
			load, latency = call.Load{Limit: 10, Latency: time.Microsecond}, 20*typical
		}
		b.now = b.now.Add(latency)
		b.table.Answered(o, b.now, load)
	}
	assert.Assert(t, got["r1"] < 25, "%v", got)
}

func TestColdDoorCountsByWhatItBears(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(2, 1)...)
	b.table.settings.Policy = Estimated
	for i := range 5 { // r0 is known and half in use, r1 has both its places taken
		o := b.table.Sent("r0", b.now)
		if i == 0 {
			b.table.Answered(o, b.now.Add(firstLatency), call.Load{Limit: 10})
		}
	}
	b.table.Sent("r1", b.now)
	b.table.Sent("r1", b.now)
	for range 20 {
		router, _ := b.table.Choose(service, b.now, nil)
		assert.Equal(t, string(router.ID), "r0")
		b.table.Dropped(b.table.Sent("r0", b.now))
	}
}

// TestColdDoorGetsItsPlacesFilled lets a cold door with a free place compete
// with a warm one that has more free places.
func TestColdDoorGetsItsPlacesFilled(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(2, 1)...)
	for i := range 2 {
		id := door(i, "dc0").ID
		b.table.Answered(b.table.Sent(id, b.now), b.now.Add(typical), call.Load{Limit: 10 - 7*i})
	}
	for range 3 {
		b.table.Sent("r0", b.now)
	}
	for range 2 { // both of two more calls
		router, _ := b.table.Choose(service, b.now, nil)
		assert.Equal(t, string(router.ID), "r1")
		b.table.Sent("r1", b.now)
	}
}

func TestOnlyEligibleDoorsThatAreNotExcluded(t *testing.T) {
	leaves := door(0, "dc0")
	leaves.Leaving = true
	for _, policy := range []Policy{Estimated, RoundRobin, TwoChoices} {
		b := newBench(1, "e", "dc0", append(doors(8, 4)[1:], leaves)...)
		b.table.settings.Policy = policy
		b.apply(&fleet.Change{From: 1, To: 2, DataCentres: []fleet.DataCentreSetting{{Name: "dc1", Out: true}}, Upstreams: []fleet.UpstreamSetting{{Name: "u2", Out: true}}})
		for range 200 {
			router, ok := b.table.Choose(service, b.now, []fleet.RouterID{"r3", "r4"})
			assert.Assert(t, ok)
			assert.Assert(t, slices.Contains([]fleet.RouterID{"r6", "r7"}, router.ID), "policy %d: %s", policy, router.ID)
		}
		_, ok := b.table.Choose(service, b.now, []fleet.RouterID{"r3", "r4", "r6", "r7"})
		assert.Assert(t, !ok)
	}
}

// TestNewlyIdleDoorIsNotSwamped lets many entries choose at the same instant
// right after a cold door has joined.
func TestNewlyIdleDoorIsNotSwamped(t *testing.T) {
	const entries, joined = 60, 5
	got := 0
	for seed := range uint64(entries) {
		b := newBench(seed, "e"+strconv.Itoa(int(seed)), "dc0", doors(joined, 1)...)
		b.serve(100, b.steady)
		for i := range joined { // busy doors
			for range 2 {
				b.table.Sent(door(i, "dc0").ID, b.now)
			}
		}
		b.apply(&fleet.Change{From: 1, To: 2, Routers: []fleet.Router{door(joined, "dc0")}})
		for range 3 {
			router, _ := b.table.Choose(service, b.now, nil)
			b.table.Sent(router.ID, b.now)
			if router.ID == door(joined, "dc0").ID {
				got++
			}
		}
	}
	assert.Assert(t, got < entries, "%d of %d calls at the new door", got, 3*entries)
	assert.Assert(t, got > entries/10, "%d of %d calls at the new door", got, 3*entries)
}

func TestSubsetIsSmallStableAndEven(t *testing.T) {
	const n, centres = 2400, 18
	all := doors(n, centres)
	counts := map[fleet.RouterID]int{}
	for e := range 200 {
		b := newBench(1, "r"+strconv.Itoa(e), "dc"+strconv.Itoa(e%centres), all...)
		local, remote := b.table.pools[service].subset()
		assert.Equal(t, len(local)+len(remote), totalDoors)
		for _, d := range slices.Concat(local, remote) {
			counts[d.router.ID]++
		}
		if e%50 > 0 {
			continue
		}
		before := slices.Clone(local)
		b.apply(&fleet.Change{From: 1, To: 2, Removed: []fleet.RouterID{local[3].router.ID}})
		after, _ := b.table.pools[service].subset()
		kept := 0
		for _, d := range after {
			if slices.Contains(before, d) {
				kept++
			}
		}
		assert.Equal(t, kept, localDoors-1, "entry %d", e)
	}
	most := slices.Max(mapValues(counts))
	t.Logf("doors in subsets: mean %.1f, most %d, never %d", 200.0*totalDoors/n, most, n-len(counts))
	assert.Assert(t, most <= 8*200*totalDoors/n)
}

func mapValues(m map[fleet.RouterID]int) []int {
	var list []int
	for _, v := range m {
		list = append(list, v)
	}
	return list
}

// TestUpdateMatchesRebuild applies random changes and compares with a table
// that took the whole view at once.
func TestUpdateMatchesRebuild(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		b := newBench(seed, "e", "dc0", doors(12, 3)...)
		for range 30 {
			c := &fleet.Change{From: b.view.Version, To: b.view.Version + 1}
			r := door(random.IntN(16), "dc"+strconv.Itoa(random.IntN(3)))
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
			b.apply(c)
		}
		fresh := newBench(seed, "e", "dc0")
		fresh.apply(b.view.Full())
		for _, name := range []string{service, "payments"} {
			for side := range 2 {
				assert.DeepEqual(t, names(b.table.pool(name).doors[side]), names(fresh.table.pool(name).doors[side]))
			}
		}
	}
}

func names(doors []*target) []fleet.RouterID {
	var list []fleet.RouterID
	for _, d := range doors {
		list = append(list, d.router.ID)
	}
	return list
}

func BenchmarkChoose(b *testing.B) {
	bench := newBench(1, "r0", "dc0", doors(2400, 18)...)
	b.ReportAllocs()
	for b.Loop() {
		router, _ := bench.table.Choose(service, bench.now, nil)
		bench.table.Answered(bench.table.Sent(router.ID, bench.now), bench.now, call.Load{Limit: 10})
	}
}

// BenchmarkUpdate applies a change of one router and one shard to a view of
// 2,400 routers and 40,000 shards.
func BenchmarkUpdate(b *testing.B) {
	bench := newBench(1, "r0", "dc0", doors(2400, 18)...)
	full := &fleet.Change{From: 1, To: 2}
	for s := range uint32(40_000) {
		full.Shards = append(full.Shards, fleet.Shard{ID: fleet.ShardID{Service: service, Number: s}})
	}
	bench.apply(full)
	b.ReportAllocs()
	for b.Loop() {
		version := bench.view.Version
		bench.apply(&fleet.Change{From: version, To: version + 1, Routers: []fleet.Router{door(7, "dc7")}, Shards: full.Shards[:1]})
	}
}

func TestStaleReportFades(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(2, 1)...)
	for i, load := range []call.Load{{Limit: 10}, {Limit: 10, InFlight: 10, Queued: 50}} {
		b.table.Answered(b.table.Sent(door(i, "dc0").ID, b.now), b.now.Add(typical), load)
	}
	for _, want := range []fleet.RouterID{"r0", "r1"} {
		b.now = b.now.Add(typical)
		o := b.table.Sent("r0", b.now) // one call under way at r0, not late
		router, _ := b.table.Choose(service, b.now, nil)
		assert.Equal(t, router.ID, want)
		b.table.Dropped(o)
		b.now = b.now.Add(10 * reportHalfLife)
	}
}

func TestAnotherDataCentreMustBeClearlyBetter(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(2, 2)...)
	for i := range 2 {
		b.table.Answered(b.table.Sent(door(i, "dc").ID, b.now), b.now.Add(typical), call.Load{Limit: 10})
	}
	for _, want := range []fleet.RouterID{"r0", "r0", "r0", "r1"} { // 1.3 against 1.25
		router, _ := b.table.Choose(service, b.now, nil)
		assert.Equal(t, router.ID, want)
		b.table.Sent("r0", b.now)
	}
}

func TestDoorThatStaysSlowIsTriedSeldom(t *testing.T) {
	b := newBench(1, "e", "dc0", doors(3, 1)...)
	b.serve(200, b.steady)
	got := b.serve(10_000, func(r fleet.Router) time.Duration { // 20 s
		if r.ID == "r1" {
			return 10 * typical
		}
		return typical
	})
	assert.Assert(t, got["r1"] > 1 && got["r1"] <= 6, "%v", got)
}
