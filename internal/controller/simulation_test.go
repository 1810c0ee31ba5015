package controller_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/control"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/settings"
)

const (
	stepTime    = 10 * time.Millisecond
	shardCount  = 8
	serviceName = "timetable"
)

// timing returns the default time spans.
func timing() settings.Timing {
	var s settings.Control
	data := `{"fleet":"f","name":"c","dataCentre":"d","dataFolder":"x","tokenFile":"x","peers":[{"name":"c","peer":"127.0.0.1:1","operator":"127.0.0.1:2"}]}`
	if err := settings.Parse("test", []byte(data), &s); err != nil {
		panic(err)
	}
	return s.Timing
}

// world joins control processes and routers by a transport and an ordered
// list in place of the replicated log. Its time is virtual.
type simulation struct {
	rng        *rand.Rand
	timing     settings.Timing
	now        time.Duration
	nodes      []*node
	routers    []*router
	deliveries []delivery
	// chaos is the chance of a message to be lost, doubled or late.
	faultRate float64

	log     []logEntry
	pending []proposal
	term    uint64
	leader  int
	// contact is when a majority last heard the leader; electAt is when the
	// next election starts if it hears nothing more.
	leaderContact, electAt time.Duration
	configCommittedAt      []time.Duration
	presetNames            map[fleet.Version]string
	runs                   []*run
	highestEpoch           map[fleet.ShardID]fleet.Epoch
	nextStream             controller.StreamID
	nextID                 uint64
	faults                 []string
	failure                error
}

// drifting is a local clock with an offset and a rate.
type driftingClock struct {
	offset time.Duration
	rate   float64
}

func (d driftingClock) at(real time.Duration) clock.Instant {
	return clock.Instant(d.offset) + clock.Instant(float64(real)*d.rate)
}

func (d driftingClock) real(local clock.Instant) time.Duration {
	return time.Duration(float64(local-clock.Instant(d.offset)) / d.rate)
}

// packet is a message under way.
type delivery struct {
	due      time.Duration
	from, to string
	deliver  func()
}

type logEntry struct {
	term    uint64
	command control.Command
}

type proposal struct {
	due     time.Duration
	node    int
	term    uint64
	command control.Command
}

// run is work at an upstream.
type run struct {
	shard       fleet.ShardID
	router      *router
	incarnation uint64
	id          uint64
	ends        time.Duration
	latest      time.Duration
}

func newSimulation(seed uint64, routers int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), timing: timing(), leader: -1, presetNames: map[fleet.Version]string{},
		highestEpoch: map[fleet.ShardID]fleet.Epoch{}, electAt: 100 * time.Millisecond,
	}
	for i := range 3 {
		sim.nodes = append(sim.nodes, &node{sim: sim, index: i, name: fmt.Sprintf("control-%d", i), clock: sim.clock()})
		sim.nodes[i].restart()
	}
	for i := range routers {
		r := &router{sim: sim, name: fmt.Sprintf("router-%d", i), clock: sim.clock(), dataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%2))}
		sim.routers = append(sim.routers, r)
		r.restart()
	}
	return sim
}

func (sim *simulation) clock() driftingClock {
	return driftingClock{offset: time.Hour + time.Duration(sim.rng.Int64N(int64(time.Hour))), rate: 0.99 + 0.02*sim.rng.Float64()}
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == nil {
		sim.failure = fmt.Errorf("at %v: "+format, append([]any{sim.now}, args...)...)
	}
}

func (sim *simulation) leases() lease.Timing {
	t := sim.timing
	return lease.Timing{Ownership: t.Ownership.Value(), View: t.View.Value(), Margin: t.Drift.Value()}
}

func (sim *simulation) core() *controller.Core {
	return controller.New(sim.leases(), placement.Limits{MaxRebalancing: 16}, func(name string) string { return name })
}

// send puts a message on its way, in order unless the transport is in chaos.
func (sim *simulation) send(from, to string, deliver func()) {
	delay := time.Duration(1+sim.rng.IntN(8)) * time.Millisecond
	copies := 1
	if sim.rng.Float64() < sim.faultRate {
		switch sim.rng.IntN(3) {
		case 0:
			return
		case 1:
			copies = 2
		default:
			delay = time.Duration(sim.rng.IntN(1500)) * time.Millisecond
		}
	}
	for range copies {
		sim.deliveries = append(sim.deliveries, delivery{due: sim.now + delay, from: from, to: to, deliver: deliver})
	}
}

// step moves time on and lets everybody act.
func (sim *simulation) step() {
	sim.now += stepTime
	sim.runConsensus()
	sim.deliver()
	for _, n := range sim.nodes {
		n.step()
	}
	for _, r := range sim.routers {
		r.step()
	}
	sim.endRuns()
}

func (sim *simulation) deliver() {
	var due []delivery
	sim.deliveries = slices.DeleteFunc(sim.deliveries, func(p delivery) bool {
		if p.due > sim.now || sim.isFrozen(p.to) {
			return false
		}
		due = append(due, p)
		return true
	})
	if sim.faultRate == 0 {
		slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.due, b.due) })
	}
	for _, p := range due {
		if !sim.isUnreachable(p.from) && !sim.isUnreachable(p.to) {
			p.deliver()
		}
	}
}

func (sim *simulation) isFrozen(name string) bool {
	for _, n := range sim.nodes {
		if n.name == name {
			return n.frozenUntil > sim.now
		}
	}
	for _, r := range sim.routers {
		if r.name == name {
			return r.frozenUntil > sim.now
		}
	}
	return false
}

func (sim *simulation) isUnreachable(name string) bool {
	for _, n := range sim.nodes {
		if n.name == name {
			return n.partitionedUntil > sim.now || n.downUntil > sim.now
		}
	}
	for _, r := range sim.routers {
		if r.name == name {
			return r.partitionedUntil > sim.now || r.downUntil > sim.now
		}
	}
	return false
}

// consensus stands in for the replicated log: one leader a term, a lease that
// ends before the next election, entries in one order.
func (sim *simulation) runConsensus() {
	election := sim.timing.Election.Value()
	if sim.leader >= 0 && sim.nodes[sim.leader].isReachable() {
		sim.leaderContact = sim.now
		sim.electAt = sim.now + election + time.Duration(sim.rng.Int64N(int64(election)))
		n := sim.nodes[sim.leader]
		if sim.now >= n.leaseFrom {
			n.leaseUntil = n.clock.at(sim.now).Add(election - sim.timing.Drift.Value())
		}
	}
	if sim.now >= sim.electAt {
		sim.elect()
	}
	sim.commit()
}

func (sim *simulation) elect() {
	var able []int
	for i, n := range sim.nodes {
		if n.isReachable() {
			able = append(able, i)
		}
	}
	if len(able) < 2 {
		sim.electAt = sim.now + sim.timing.Election.Value()
		return
	}
	// What the last leader proposed may survive it.
	for _, p := range sim.pending {
		if p.term == sim.term && sim.rng.IntN(2) == 0 {
			sim.append(p.command)
		}
	}
	lost := sim.pending
	sim.pending = nil
	sim.term++
	sim.leader = able[sim.rng.IntN(len(able))]
	// What waits at a node may be appended when it leads again.
	for _, p := range lost {
		if p.node == sim.leader && sim.rng.IntN(2) == 0 {
			sim.append(p.command)
		}
	}
	n := sim.nodes[sim.leader]
	n.leaseUntil = 0
	n.leaseFrom = sim.now + time.Duration(5+sim.rng.IntN(40))*time.Millisecond
	sim.leaderContact = sim.now
}

func (sim *simulation) append(command control.Command) {
	sim.log = append(sim.log, logEntry{sim.term, command})
}

func (sim *simulation) commit() {
	var left []proposal
	for _, p := range sim.pending {
		switch {
		case p.term != sim.term || p.node != sim.leader:
		case p.due > sim.now || !sim.nodes[sim.leader].isReachable():
			left = append(left, p)
		default:
			sim.append(p.command)
		}
	}
	sim.pending = left
}

// started checks a run that a door just handed to its upstream.
func (sim *simulation) checkStarted(r *router, shard fleet.ShardID, epoch fleet.Epoch, ends, latest time.Duration, id uint64) {
	if epoch < sim.highestEpoch[shard] {
		sim.fail("%s runs %s under epoch %d after epoch %d", r.name, shard, epoch, sim.highestEpoch[shard])
	}
	sim.highestEpoch[shard] = max(sim.highestEpoch[shard], epoch)
	for _, other := range sim.runs {
		if other.shard == shard && (other.router != r || other.incarnation != r.incarnation) {
			sim.fail("%s runs %s while %s does", r.name, shard, other.router.name)
		}
	}
	for i, committed := range sim.configCommittedAt {
		if config := fleet.Version(i + 1); committed+sim.timing.View.Value()+100*time.Millisecond < sim.now && r.view.Config < config {
			sim.fail("%s takes work under config %d, but %d is in force since %v", r.name, r.view.Config, config, committed)
		}
	}
	sim.runs = append(sim.runs, &run{shard: shard, router: r, incarnation: r.incarnation, id: id, ends: min(ends, latest), latest: latest})
}

func (sim *simulation) endRuns() {
	sim.runs = slices.DeleteFunc(sim.runs, func(x *run) bool {
		if x.ends > sim.now {
			return false
		}
		x.router.finished = append(x.router.finished, x)
		return true
	})
}

// unserved returns the shards that no router that is up may serve now.
func (sim *simulation) unserved() []fleet.ShardID {
	var missing []fleet.ShardID
	for n := range uint32(shardCount) {
		id := fleet.ShardID{Service: serviceName, Number: n}
		if !slices.ContainsFunc(sim.routers, func(r *router) bool { return r.probe(id) }) {
			missing = append(missing, id)
		}
	}
	return missing
}
