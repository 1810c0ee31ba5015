package controller_test

import (
	"fmt"
	"slices"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/controller"
	"endivespring/internal/executor"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
)

// router is a router process: its session, executor and view.
type router struct {
	sim        *simulation
	name       string
	clock      driftingClock
	dataCentre fleet.DataCentre
	upstream   fleet.Upstream
	core       *session.Core
	executor   *executor.Core
	// incarnation counts the starts of the router.
	incarnation uint64
	view        *fleet.View
	// stream is the open stream, or zero, and peer the index of the node at its
	// other end.
	stream   controller.StreamID
	peer     int
	finder   *session.Finder
	attachAt time.Duration
	// frozenUntil, partitionedUntil and downUntil are the ends of the faults
	// injected last.
	frozenUntil, partitionedUntil, downUntil time.Duration
	// finished holds the runs that have ended but that the executor does not
	// know to have ended.
	finished []*run
	calls    uint64
	nonces   int
}

func (r *router) nonce() string {
	r.nonces++
	return fmt.Sprintf("%s/%d", r.name, r.nonces)
}

func (r *router) restart() {
	r.upstream = fleet.Upstream{Name: "u-" + r.name, Service: serviceName, Boot: r.nonce(), Slots: 1000, ColdSlots: 1000}
	self := fleet.Router{ID: fleet.RouterID(r.name), DataCentre: r.dataCentre, Address: r.name, Upstream: r.upstream}
	r.core = session.New(self, r.sim.timing.Renewal.Value(), r.nonce())
	r.executor, r.view = executor.New(self.ID, r.dataCentre), fleet.NewView()
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
	if r.stream != 0 && r.core.TimedOut(now) {
		r.finder.MarkUnresponsive(now)
		r.detach(50 * time.Millisecond)
	}
	if up, due := r.core.DueRenewal(now); due && r.stream != 0 {
		r.renew(up)
	}
	r.work()
}

func (r *router) renew(up session.RouterMessage) {
	id, n := r.stream, r.sim.nodes[r.peer]
	r.sim.send(r.name, n.name, func() {
		n.core.HandleRenewal(n.clock.at(r.sim.now), id, &up)
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

func (r *router) receive(stream controller.StreamID, down session.ControlMessage) {
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
	if r.core.IsRejection(&down) {
		r.update(r.core.HandleRejection(now, &down, r.nonce()))
		return
	}
	update, resync := r.core.Receive(now, &down)
	r.update(update)
	if r.core.Closed() {
		r.sim.fail("%s: session closed although the router did not ask for it", r.name)
	}
	if resync {
		r.detach(10 * time.Millisecond)
	}
}

func (r *router) update(u session.Update) {
	now := r.clock.at(r.sim.now)
	if u.Change != nil {
		before, preset := r.view.Version, r.view.Preset
		applied := r.view.Apply(u.Change)
		if applied != r.executor.SetView(now, u.Change) || r.view.Version < before {
			r.sim.fail("%s: view went from version %d to %d, or executor and view disagree on the change", r.name, before, r.view.Version)
		}
		if preset != nil && (r.view.Preset == nil || r.view.Preset.Version < preset.Version) {
			r.sim.fail("%s: preset version decreased", r.name)
		}
	}
	r.executor.SetLease(now, u.Session, u.OwnershipUntil, u.ViewUntil)
}

// work completes the runs that have ended, submits a request for a random shard and
// reports releases.
func (r *router) work() {
	sim := r.sim
	for _, ended := range r.finished {
		if ended.incarnation == r.incarnation {
			r.executor.Complete(r.clock.at(sim.now), executor.Outcome{Run: ended.id, Answer: call.Answer{Verdict: verdict.Ran}, Health: admission.Good})
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
	r.execute(func(run executor.Run) {
		ends := sim.now + time.Duration(sim.rng.IntN(900))*time.Millisecond
		sim.checkStarted(r, shard, run.Epoch, ends, r.clock.real(run.Deadline), run.ID)
	})
}

func (r *router) submit(shard fleet.ShardID, deadline clockInstant) {
	r.calls++
	r.executor.Submit(r.clock.at(r.sim.now), executor.Ticket{Link: 1, Number: r.calls}, call.Call{
		Number: r.calls, RequestID: fmt.Sprint(r.calls), Service: serviceName, Operation: "lookup", Idempotent: true,
		Sharded: true, Shard: shard.Number, Deadline: deadline,
	})
}

// execute carries out the executor's output. Each new run is passed to started.
func (r *router) execute(started func(executor.Run)) {
	out := r.executor.Take()
	for _, run := range out.Runs {
		started(run)
	}
	if len(out.Releases) > 0 {
		r.core.Release(r.clock.at(r.sim.now), out.Releases)
	}
}

// probe reports whether the router serves a shard now, by a request that completes
// at once.
func (r *router) probe(shard fleet.ShardID) bool {
	if r.frozenUntil > r.sim.now || r.downUntil > r.sim.now {
		return false
	}
	r.execute(func(executor.Run) {})
	served := false
	r.submit(shard, r.clock.at(r.sim.now).Add(time.Second))
	r.execute(func(run executor.Run) {
		served = true
		r.executor.Complete(r.clock.at(r.sim.now), executor.Outcome{Run: run.ID, Answer: call.Answer{Verdict: verdict.Ran}, Health: admission.Good})
	})
	return served
}
