package controller_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/controller"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
)

// node is a control process without its log.
type node struct {
	w                 *world
	index             int
	name              string
	clock             drifting
	core              *controller.Core
	applied           int
	ready             time.Duration
	leaseUntil        clockInstant
	lead              controller.Leadership
	learnsAt          time.Duration
	frozen, cut, down time.Duration
}

func (n *node) restart() {
	n.core, n.applied, n.lead, n.leaseUntil = n.w.core(), 0, controller.Leadership{}, 0
}

// reaches reports whether the node runs and reaches the others.
func (n *node) reaches() bool {
	return n.frozen <= n.w.now && n.cut <= n.w.now && n.down <= n.w.now
}

func (n *node) step() {
	if n.frozen > n.w.now || n.down > n.w.now {
		return
	}
	n.apply()
	now := n.clock.at(n.w.now)
	if lead := n.leadership(); lead.Leads != n.lead.Leads || lead.Term != n.lead.Term || lead.LeaseUntil != n.lead.LeaseUntil || lead.Leader != n.lead.Leader {
		n.lead = lead
		n.core.Lead(now, lead)
	}
	n.core.Tick(now)
	n.take()
}

// apply executes what is committed. A cut-off node learns of nothing.
func (n *node) apply() {
	w := n.w
	for n.cut <= w.now && n.applied < len(w.log) {
		config := n.core.State().View.Config
		n.core.Committed(n.clock.at(w.now), w.log[n.applied].term, &w.log[n.applied].command)
		n.applied++
		view := n.core.State().View
		if view.Config > config && int(view.Config) > len(w.configs) {
			w.configs = append(w.configs, w.now)
		}
		if p := view.Preset; p != nil {
			if name, ok := w.presets[p.Version]; ok && name != p.Name {
				w.fail("preset version %d is %s and %s", p.Version, name, p.Name)
			}
			w.presets[p.Version] = p.Name
		}
	}
}

// leadership returns what the log would tell. A deposed leader learns of it
// only once it reaches the others.
func (n *node) leadership() controller.Leadership {
	w := n.w
	if w.leader == n.index {
		return controller.Leadership{Leads: true, Term: w.term, LeaseUntil: n.leaseUntil, Leader: n.name}
	}
	if n.lead.Leads && (n.cut > w.now || n.learnsAt > w.now) {
		return n.lead
	}
	out := controller.Leadership{Term: w.term}
	if w.leader >= 0 && n.cut <= w.now {
		out.Leader = w.nodes[w.leader].name
	}
	return out
}

// take carries out what the core asks for.
func (n *node) take() {
	w, out := n.w, n.core.Take()
	for _, p := range out.Proposals {
		due := w.now + time.Duration(2+w.rng.IntN(25))*time.Millisecond
		if w.rng.Float64() >= w.chaos {
			w.pending = append(w.pending, proposal{due: due, node: n.index, term: n.lead.Term, command: p})
		}
	}
	slices.SortStableFunc(out.Sends, func(a, b controller.Send) int { return cmp.Compare(a.Stream, b.Stream) })
	for _, s := range out.Sends {
		if s.Down.Lease && (w.leader != n.index || n.clock.at(w.now) >= n.leaseUntil) {
			w.fail("%s grants a lease without its own", n.name)
		}
		for _, r := range w.routers {
			if r.stream == s.Stream {
				w.send(n.name, r.name, func() { r.receive(s.Stream, s.Down) })
			}
		}
	}
}

// router is a router process: its session, door and view.
type router struct {
	w                 *world
	name              string
	clock             drifting
	centre            fleet.DataCentre
	upstream          fleet.Upstream
	core              *session.Core
	doorCore          *executor.Core
	door              uint64
	view              *fleet.View
	stream            controller.StreamID
	peer              int
	finder            *session.Finder
	attachAt          time.Duration
	frozen, cut, down time.Duration
	finished          []*run
	calls             uint64
	nonces            int
}

func (r *router) nonce() string {
	r.nonces++
	return fmt.Sprintf("%s/%d", r.name, r.nonces)
}

func (r *router) restart() {
	r.upstream = fleet.Upstream{Name: "u-" + r.name, Service: serviceName, Boot: r.nonce(), Slots: 1000, ColdSlots: 1000}
	self := fleet.Router{ID: fleet.RouterID(r.name), DataCentre: r.centre, Address: r.name, Upstream: r.upstream}
	r.core = session.New(self, r.w.timing.Renewal.Value(), r.nonce())
	r.doorCore, r.view = executor.New(self.ID, r.centre), fleet.NewView()
	r.doorCore.Announce(r.clock.at(r.w.now), r.upstream)
	r.door++
	r.stream, r.finished = 0, nil
	r.finder = session.NewFinder([]string{"control-0", "control-1", "control-2"})
}

func (r *router) step() {
	w := r.w
	if r.frozen > w.now || r.down > w.now {
		return
	}
	now := r.clock.at(w.now)
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
	id, n := r.stream, r.w.nodes[r.peer]
	r.w.send(r.name, n.name, func() {
		n.core.Renewal(n.clock.at(r.w.now), id, &up)
		n.take()
	})
}

func (r *router) attach() {
	w := r.w
	if r.stream != 0 || w.now < r.attachAt {
		return
	}
	address := r.finder.Next(r.clock.at(w.now))
	r.peer = slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == address })
	if w.nodes[r.peer].down > w.now {
		r.attachAt = w.now + 50*time.Millisecond
		return
	}
	w.nextStream++
	r.stream = w.nextStream
	r.core.Connected(r.clock.at(w.now))
}

func (r *router) detach(pause time.Duration) {
	n, id := r.w.nodes[r.peer], r.stream
	r.w.send(r.name, n.name, func() { n.core.Detach(id) })
	r.stream, r.attachAt = 0, r.w.now+pause
}

func (r *router) receive(stream controller.StreamID, down session.Down) {
	if r.stream != stream || r.down > r.w.now {
		return
	}
	if down.Redirect {
		r.core.Redirected(r.clock.at(r.w.now))
		pause := 50 * time.Millisecond
		if r.finder.Redirected(r.clock.at(r.w.now), down.Leader) {
			pause = 0
		}
		r.detach(pause)
		return
	}
	now := r.clock.at(r.w.now)
	if r.core.Rejects(&down) {
		r.update(r.core.Rejected(now, &down, r.nonce()))
		return
	}
	update, resync := r.core.Receive(now, &down)
	r.update(update)
	if r.core.Closed() {
		r.w.fail("%s: session closed without being asked", r.name)
	}
	if resync {
		r.detach(10 * time.Millisecond)
	}
}

func (r *router) update(u session.Update) {
	now := r.clock.at(r.w.now)
	if u.Change != nil {
		before, preset := r.view.Version, r.view.Preset
		fitted := r.view.Apply(u.Change)
		if fitted != r.doorCore.SetView(now, u.Change) || r.view.Version < before {
			r.w.fail("%s: view went from %d to %d", r.name, before, r.view.Version)
		}
		if preset != nil && (r.view.Preset == nil || r.view.Preset.Version < preset.Version) {
			r.w.fail("%s: preset version went back", r.name)
		}
	}
	r.doorCore.SetLease(now, u.Session, u.OwnUntil, u.ViewUntil)
}

// work finishes runs, asks for more and hands releases over.
func (r *router) work() {
	w := r.w
	for _, x := range r.finished {
		if x.door == r.door {
			r.doorCore.Complete(r.clock.at(w.now), executor.Outcome{Run: x.id, Answer: call.Answer{Verdict: verdict.Ran}, Health: admission.Good})
		}
	}
	r.finished = nil
	shard := fleet.ShardID{Service: serviceName, Number: uint32(w.rng.IntN(shardCount))}
	if w.rng.IntN(4) > 0 && r.view.Shard(shard).Owner != fleet.RouterID(r.name) {
		return
	}
	deadline := r.clock.at(w.now).Add(time.Duration(50+w.rng.IntN(800)) * time.Millisecond)
	r.submit(shard, deadline)
	r.doorCore.Tick(r.clock.at(w.now))
	r.take(func(run executor.Run) {
		ends := w.now + time.Duration(w.rng.IntN(900))*time.Millisecond
		w.started(r, shard, run.Epoch, ends, r.clock.real(run.Deadline), run.ID)
	})
}

func (r *router) submit(shard fleet.ShardID, deadline clockInstant) {
	r.calls++
	r.doorCore.Submit(r.clock.at(r.w.now), executor.Ticket{Link: 1, Number: r.calls}, call.Call{
		Number: r.calls, RequestID: fmt.Sprint(r.calls), Service: serviceName, Operation: "lookup", Idempotent: true,
		Sharded: true, Shard: shard.Number, Deadline: deadline,
	})
}

func (r *router) take(started func(executor.Run)) {
	out := r.doorCore.Take()
	for _, run := range out.Runs {
		started(run)
	}
	if len(out.Releases) > 0 {
		r.core.Release(r.clock.at(r.w.now), out.Releases)
	}
}

// probe reports whether the router may serve a shard now.
func (r *router) probe(shard fleet.ShardID) bool {
	if r.frozen > r.w.now || r.down > r.w.now {
		return false
	}
	r.take(func(executor.Run) {})
	served := false
	r.submit(shard, r.clock.at(r.w.now).Add(time.Second))
	r.take(func(run executor.Run) {
		served = true
		r.doorCore.Complete(r.clock.at(r.w.now), executor.Outcome{Run: run.ID, Answer: call.Answer{Verdict: verdict.Ran}, Health: admission.Good})
	})
	return served
}

// operate sends an operator's change to the leader.
func (w *world) operate(change fsm.OperatorChange) {
	if w.leader < 0 || !w.nodes[w.leader].reaches() {
		return
	}
	n := w.nodes[w.leader]
	w.nextID++
	change.CommandID, change.Expected = fmt.Sprint(w.nextID), n.core.State().View.Config
	n.core.Operate(n.clock.at(w.now), w.nextID, &change)
	n.take()
}
