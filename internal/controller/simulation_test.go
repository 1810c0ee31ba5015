package controller_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/settings"
)

const (
	stepTime    = 10 * time.Millisecond
	shardCount  = 8
	serviceName = "timetable"
)

// timing returns the default timing of a control process.
func timing() settings.Timing {
	var s settings.Control
	data := `{"fleet":"f","name":"c","dataCentre":"d","dataFolder":"x","tokenFile":"x","peers":[{"name":"c","peer":"127.0.0.1:1","operator":"127.0.0.1:2"}]}`
	if err := settings.Parse("test", []byte(data), &s); err != nil {
		panic(err)
	}
	return s.Timing
}

// simulation runs control processes and routers in virtual time. They are connected
// by a simulated transport, and an ordered list takes the place of the replicated log.
type simulation struct {
	rng        *rand.Rand
	timing     settings.Timing
	now        time.Duration
	nodes      []*node
	routers    []*router
	deliveries []delivery
	// faultRate is the probability that a message or a proposal is disturbed:
	// messages are lost, duplicated or delayed, proposals are lost.
	faultRate float64
	// linkDelay is added to the delay of every message between routers and nodes. If it
	// is set, messages in one direction stay in order; lastDue is the latest arrival.
	linkDelay time.Duration
	lastDue   map[[2]string]time.Duration
	// downRate, if set, is the bandwidth from nodes to each router in bytes a second.
	downRate float64

	log     []logEntry
	pending []proposal
	term    uint64
	leader  int
	// leaderContact is when a majority last received a message from the leader;
	// electAt is when the next election starts if it receives no other.
	leaderContact, electAt time.Duration
	// configCommittedAt holds when each config version was committed, from
	// version 1 on.
	configCommittedAt []time.Duration
	presetNames       map[fleet.Version]string
	runs              []*run
	highestEpoch      map[fleet.ShardID]fleet.Epoch
	nextStream        controller.StreamID
	nextID            uint64
	faults            []string
	failure           error
}

// delivery is a message in transit.
type delivery struct {
	due      time.Duration
	from, to string
	deliver  func()
}

// logEntry is a committed command and the term it was appended under.
type logEntry struct {
	term    uint64
	command fsm.Command
}

// proposal is a command that a node has proposed and that is not committed yet.
type proposal struct {
	due     time.Duration
	node    int
	term    uint64
	command fsm.Command
}

// run is a request that runs at an upstream. It has ended by latest at the latest.
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
		highestEpoch: map[fleet.ShardID]fleet.Epoch{}, electAt: 100 * time.Millisecond, lastDue: map[[2]string]time.Duration{},
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

// send delivers a message after a delay. Messages stay in order while faultRate is
// zero.
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
	due := sim.now + delay
	if direction := [2]string{from, to}; sim.linkDelay > 0 {
		due = max(due+sim.linkDelay, sim.lastDue[direction])
		sim.lastDue[direction] = due
	}
	for range copies {
		sim.deliveries = append(sim.deliveries, delivery{due: due, from: from, to: to, deliver: deliver})
	}
}

// step advances the time and lets every node and router act.
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

// run advances the time by a duration.
func (sim *simulation) run(duration time.Duration) {
	for end := sim.now + duration; sim.now < end; {
		sim.step()
	}
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

// runConsensus takes the place of the consensus duties: it guarantees one leader a
// term, a leader's lease that expires before the next election, and one order of
// entries for all.
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
	var reachable []int
	for i, n := range sim.nodes {
		if n.isReachable() {
			reachable = append(reachable, i)
		}
	}
	if len(reachable) < 2 {
		sim.electAt = sim.now + sim.timing.Election.Value()
		return
	}
	// Proposals of the last leader may be committed after it is deposed.
	for _, p := range sim.pending {
		if p.term == sim.term && sim.rng.IntN(2) == 0 {
			sim.append(p.command)
		}
	}
	lost := sim.pending
	sim.pending = nil
	sim.term++
	sim.leader = reachable[sim.rng.IntN(len(reachable))]
	// A proposal that waits at a node may be appended once the node is leader again.
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

func (sim *simulation) append(command fsm.Command) {
	sim.log = append(sim.log, logEntry{sim.term, command})
}

func (sim *simulation) commit() {
	var remaining []proposal
	for _, p := range sim.pending {
		switch {
		case p.term != sim.term || p.node != sim.leader:
		case p.due > sim.now || !sim.nodes[sim.leader].isReachable():
			remaining = append(remaining, p)
		default:
			sim.append(p.command)
		}
	}
	sim.pending = remaining
}

// checkStarted checks the invariants for a run that an executor has just started: the
// epoch of the shard does not decrease, no other executor runs the shard, and the
// router does not work under a config version that was replaced longer ago than a
// view lease. It then records the run.
func (sim *simulation) checkStarted(r *router, shard fleet.ShardID, epoch fleet.Epoch, ends, latest time.Duration, id uint64) {
	if epoch < sim.highestEpoch[shard] {
		sim.fail("%s runs %s under epoch %d after epoch %d", r.name, shard, epoch, sim.highestEpoch[shard])
	}
	sim.highestEpoch[shard] = max(sim.highestEpoch[shard], epoch)
	for _, other := range sim.runs {
		if other.shard == shard && (other.router != r || other.incarnation != r.incarnation) {
			sim.fail("%s runs %s while %s still does", r.name, shard, other.router.name)
		}
	}
	for i, committed := range sim.configCommittedAt {
		if config := fleet.Version(i + 1); committed+sim.timing.View.Value()+100*time.Millisecond < sim.now && r.view.Config < config {
			sim.fail("%s accepts a request under config version %d, but %d was committed at %v", r.name, r.view.Config, config, committed)
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

// unserved returns the shards that no running router serves now.
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

// operate sends an operator's change to the leader, if it is reachable.
func (sim *simulation) operate(change fsm.OperatorChange) {
	if sim.leader < 0 || !sim.nodes[sim.leader].isReachable() {
		return
	}
	n := sim.nodes[sim.leader]
	sim.nextID++
	change.CommandID, change.Expected = fmt.Sprint(sim.nextID), n.core.State().View.Config
	n.core.ProposeOperatorChange(n.clock.at(sim.now), sim.nextID, &change)
	n.execute()
}
