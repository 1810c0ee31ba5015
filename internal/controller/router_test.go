package controller_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/control"
	"endivespring/internal/controller"
	"endivespring/internal/door"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
)

// node is a control process without its log.
type node struct {
	sim                                      *simulation
	index                                    int
	name                                     string
	clock                                    driftingClock
	core                                     *controller.Core
	applied                                  int
	leaseFrom                                time.Duration
	leaseUntil                               clockInstant
	leadership                               controller.Leadership
	learnsTermAt                             time.Duration
	frozenUntil, partitionedUntil, downUntil time.Duration
}

func (n *node) restart() {
	n.core, n.applied, n.leadership, n.leaseUntil = n.sim.core(), 0, controller.Leadership{}, 0
}

// reaches reports whether the node runs and reaches the others.
func (n *node) isReachable() bool {
	return n.frozenUntil <= n.sim.now && n.partitionedUntil <= n.sim.now && n.downUntil <= n.sim.now
}

func (n *node) step() {
	if n.frozenUntil > n.sim.now || n.downUntil > n.sim.now {
		return
	}
	n.apply()
	now := n.clock.at(n.sim.now)
	if lead := n.currentLeadership(); lead.Leads != n.leadership.Leads || lead.Term != n.leadership.Term || lead.LeaseUntil != n.leadership.LeaseUntil || lead.Leader != n.leadership.Leader {
		n.leadership = lead
		n.core.Lead(now, lead)
	}
	n.core.Tick(now)
	n.execute()
}

// apply executes what is committed. A cut-off node learns of nothing.
func (n *node) apply() {
	sim := n.sim
	for n.partitionedUntil <= sim.now && n.applied < len(sim.log) {
		config := n.core.State().View.Config
		n.core.Committed(n.clock.at(sim.now), sim.log[n.applied].term, &sim.log[n.applied].command)
		n.applied++
		view := n.core.State().View
		if view.Config > config && int(view.Config) > len(sim.configCommittedAt) {
			sim.configCommittedAt = append(sim.configCommittedAt, sim.now)
		}
		if p := view.Preset; p != nil {
			if name, ok := sim.presetNames[p.Version]; ok && name != p.Name {
				sim.fail("preset version %d is %s and %s", p.Version, name, p.Name)
			}
			sim.presetNames[p.Version] = p.Name
		}
	}
}

// leadership returns what the log would tell. A deposed leader learns of it
// only once it reaches the others.
func (n *node) currentLeadership() controller.Leadership {
	sim := n.sim
	if sim.leader == n.index {
		return controller.Leadership{Leads: true, Term: sim.term, LeaseUntil: n.leaseUntil, Leader: n.name}
	}
	if n.leadership.Leads && (n.partitionedUntil > sim.now || n.learnsTermAt > sim.now) {
		return n.leadership
	}
	out := controller.Leadership{Term: sim.term}
	if sim.leader >= 0 && n.partitionedUntil <= sim.now {
		out.Leader = sim.nodes[sim.leader].name
	}
	return out
}

// take carries out what the core asks for.
func (n *node) execute() {
	sim, out := n.sim, n.core.Take()
	for _, p := range out.Proposals {
		due := sim.now + time.Duration(2+sim.rng.IntN(25))*time.Millisecond
		if sim.rng.Float64() >= sim.faultRate {
			sim.pending = append(sim.pending, proposal{due: due, node: n.index, term: n.leadership.Term, command: p})
		}
	}
	slices.SortStableFunc(out.Sends, func(a, b controller.Send) int { return cmp.Compare(a.Stream, b.Stream) })
	for _, s := range out.Sends {
		if s.Down.Lease && (sim.leader != n.index || n.clock.at(sim.now) >= n.leaseUntil) {
			sim.fail("%s grants a lease without its own", n.name)
		}
		for _, r := range sim.routers {
			if r.stream == s.Stream {
				sim.send(n.name, r.name, func() { r.receive(s.Stream, s.Down) })
			}
		}
	}
}

// router is a router process: its session, door and view.
type router struct {
	sim                                      *simulation
	name                                     string
	clock                                    driftingClock
	dataCentre                               fleet.DataCentre
	upstream                                 fleet.Upstream
	core                                     *session.Core
	executor                                 *door.Core
	incarnation                              uint64
	view                                     *fleet.View
	stream                                   controller.StreamID
	peer                                     int
	finder                                   *session.Finder
	attachAt                                 time.Duration
	frozenUntil, partitionedUntil, downUntil time.Duration
	finished                                 []*run
	calls                                    uint64
	nonces                                   int
}

func (r *router) nonce() string {
	r.nonces++
	return fmt.Sprintf("%s/%d", r.name, r.nonces)
}

func (r *router) restart() {
	r.upstream = fleet.Upstream{Name: "u-" + r.name, Service: serviceName, Boot: r.nonce(), Slots: 1000, ColdSlots: 1000}
	self := fleet.Router{ID: fleet.RouterID(r.name), DataCentre: r.dataCentre, Address: r.name, Upstream: r.upstream}
	r.core = session.New(self, r.sim.timing.Renewal.Value(), r.nonce())
	r.executor, r.view = door.New(self.ID, r.dataCentre), fleet.NewView()
	r.executor.Announce(r.clock.at(r.sim.now), r.upstream)
	r.incarnation++
	r.stream, r.finished = 0, nil
	r.finder = session.NewFinder([]string{"control-0", "control-1", "control-2"})
}

func (r *router) step() {
	sim := r.sim
	if r.frozenUntil > sim.now || r.downUntil > sim.now {
		return
	}
	now := r.clock.at(sim.now)
	r.attach()
	if r.stream != 0 && r.core.Silent(now) {
		r.finder.GaveUp(now)
		r.detach(50 * time.Millisecond)
	}
	if up, due := r.core.Due(now); due && r.stream != 0 {
		r.renew(up)
	}
	r.work()
}

func (r *router) renew(up session.Up) {
	id, n := r.stream, r.sim.nodes[r.peer]
	r.sim.send(r.name, n.name, func() {
		n.core.Renewal(n.clock.at(r.sim.now), id, &up)
		n.execute()
	})
}

func (r *router) attach() {
	sim := r.sim
	if r.stream != 0 || sim.now < r.attachAt {
		return
	}
	address := r.finder.Next(r.clock.at(sim.now))
	r.peer = slices.IndexFunc(sim.nodes, func(n *node) bool { return n.name == address })
	if sim.nodes[r.peer].downUntil > sim.now {
		r.attachAt = sim.now + 50*time.Millisecond
		return
	}
	sim.nextStream++
	r.stream = sim.nextStream
	r.core.Connected(r.clock.at(sim.now))
}

func (r *router) detach(pause time.Duration) {
	n, id := r.sim.nodes[r.peer], r.stream
	r.sim.send(r.name, n.name, func() { n.core.Detach(id) })
	r.stream, r.attachAt = 0, r.sim.now+pause
}

func (r *router) receive(stream controller.StreamID, down session.Down) {
	if r.stream != stream || r.downUntil > r.sim.now {
		return
	}
	if down.Redirect {
		r.core.Redirected(r.clock.at(r.sim.now))
		pause := 50 * time.Millisecond
		if r.finder.Redirected(r.clock.at(r.sim.now), down.Leader) {
			pause = 0
		}
		r.detach(pause)
		return
	}
	now := r.clock.at(r.sim.now)
	if r.core.Rejects(&down) {
		r.update(r.core.Rejected(now, &down, r.nonce()))
		return
	}
	update, resync := r.core.Receive(now, &down)
	r.update(update)
	if r.core.Closed() {
		r.sim.fail("%s: session closed without being asked", r.name)
	}
	if resync {
		r.detach(10 * time.Millisecond)
	}
}

func (r *router) update(u session.Update) {
	now := r.clock.at(r.sim.now)
	if u.Change != nil {
		before, preset := r.view.Version, r.view.Preset
		fitted := r.view.Apply(u.Change)
		if fitted != r.executor.SetView(now, u.Change) || r.view.Version < before {
			r.sim.fail("%s: view went from %d to %d", r.name, before, r.view.Version)
		}
		if preset != nil && (r.view.Preset == nil || r.view.Preset.Version < preset.Version) {
			r.sim.fail("%s: preset version went back", r.name)
		}
	}
	r.executor.SetLease(now, u.Session, u.OwnUntil, u.ViewUntil)
}

// work finishes runs, asks for more and hands releases over.
func (r *router) work() {
	sim := r.sim
	for _, x := range r.finished {
		if x.incarnation == r.incarnation {
			r.executor.Complete(r.clock.at(sim.now), door.Outcome{Run: x.id, Answer: call.Answer{Verdict: verdict.Ran}, Health: admission.Good})
		}
	}
	r.finished = nil
	shard := fleet.ShardID{Service: serviceName, Number: uint32(sim.rng.IntN(shardCount))}
	if sim.rng.IntN(4) > 0 && r.view.Shard(shard).Owner != fleet.RouterID(r.name) {
		return
	}
	deadline := r.clock.at(sim.now).Add(time.Duration(50+sim.rng.IntN(800)) * time.Millisecond)
	r.submit(shard, deadline)
	r.executor.Tick(r.clock.at(sim.now))
	r.execute(func(run door.Run) {
		ends := sim.now + time.Duration(sim.rng.IntN(900))*time.Millisecond
		sim.checkStarted(r, shard, run.Epoch, ends, r.clock.real(run.Deadline), run.ID)
	})
}

func (r *router) submit(shard fleet.ShardID, deadline clockInstant) {
	r.calls++
	r.executor.Submit(r.clock.at(r.sim.now), door.Ticket{Link: 1, Number: r.calls}, call.Call{
		Number: r.calls, RequestID: fmt.Sprint(r.calls), Service: serviceName, Operation: "lookup", Idempotent: true,
		Sharded: true, Shard: shard.Number, Deadline: deadline,
	})
}

func (r *router) execute(started func(door.Run)) {
	out := r.executor.Take()
	for _, run := range out.Runs {
		started(run)
	}
	if len(out.Releases) > 0 {
		r.core.Release(r.clock.at(r.sim.now), out.Releases)
	}
}

// probe reports whether the router may serve a shard now.
func (r *router) probe(shard fleet.ShardID) bool {
	if r.frozenUntil > r.sim.now || r.downUntil > r.sim.now {
		return false
	}
	r.execute(func(door.Run) {})
	served := false
	r.submit(shard, r.clock.at(r.sim.now).Add(time.Second))
	r.execute(func(run door.Run) {
		served = true
		r.executor.Complete(r.clock.at(r.sim.now), door.Outcome{Run: run.ID, Answer: call.Answer{Verdict: verdict.Ran}, Health: admission.Good})
	})
	return served
}

// operate sends an operator's change to the leader.
func (sim *simulation) operate(change control.OperatorChange) {
	if sim.leader < 0 || !sim.nodes[sim.leader].isReachable() {
		return
	}
	n := sim.nodes[sim.leader]
	sim.nextID++
	change.CommandID, change.Expected = fmt.Sprint(sim.nextID), n.core.State().View.Config
	n.core.Operate(n.clock.at(sim.now), sim.nextID, &change)
	n.execute()
}
