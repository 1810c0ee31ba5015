package executor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
)

const (
	simShards         = 3
	simRecordWindow   = 20 * time.Second
	simLease          = time.Second
	simLeaseMargin    = 50 * time.Millisecond
	simRecentRequests = 12
)

// message is a call or a cancellation in transit to an executor.
type message struct {
	request *call.Call
	cancel  uint64
	timeout time.Duration
}

// request is one caller's non-idempotent request and the truth about its runs.
type request struct {
	id           string
	shard        uint32
	first        clock.Instant
	ran          int
	provedNotRun bool // every attempt so far was truthfully answered with not-run
	done         bool
	open         uint64 // number of the attempt in progress
	attempt      int
}

// sentRun is a run that the upstream has received.
type sentRun struct {
	run Run
	// abandoned is set once nobody waits for the outcome.
	abandoned bool
}

// simRouter is a router: its executor, its upstream and its session with
// control.
type simRouter struct {
	id       fleet.RouterID
	core     *Core
	session  fleet.Session
	expires  clock.Instant // expiry of the session at control
	applied  fleet.Version
	pending  []fleet.Change
	links    map[uint64][]message
	link     uint64
	toSend   []Run
	upstream []*sentRun
	frozen   bool
}

// simulation drives executors with fake control, upstreams and callers in
// virtual time. The random choices follow from the seed.
type simulation struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	now         clock.Instant
	routers     []*simRouter
	shards      [simShards]fleet.Shard
	version     fleet.Version
	sessions    fleet.Session
	links       uint64
	requests    []*request
	byID        map[string]*request
	calls       map[uint64]*request
	number      uint64
	outcomes    map[string]int
	delegations map[uint64]delegated
	// load are the settings of the executors. With any, calls are routed ones with an objective.
	load LoadSettings
}

// delegated is a call that the executor with its record delegated to another.
type delegated struct {
	from  *simRouter
	core  *Core
	run   uint64
	call  call.Call
	tries int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), version: 1,
		calls: map[uint64]*request{}, byID: map[string]*request{}, outcomes: map[string]int{}, delegations: map[uint64]delegated{},
	}
	for i := range sim.shards {
		sim.shards[i] = fleet.Shard{ID: fleet.ShardID{Service: "pay", Number: uint32(i)}}
	}
	for i := range 3 {
		router := &simRouter{id: fleet.RouterID(fmt.Sprint("r", i))}
		sim.routers = append(sim.routers, router)
		sim.restart(router)
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d: %s", sim.seed, fmt.Sprintf(format, args...))
}

func (sim *simulation) preset() *fleet.Preset {
	return &fleet.Preset{Services: []fleet.Service{{
		Name: "pay", Keyed: sim.seed%3 == 0, Shards: simShards, QueueLimit: 3, RecordWindow: simRecordWindow,
		Operations: []fleet.Operation{{Name: "charge"}},
	}}}
}

// restart replaces a router's process: records, links and unsent runs are lost.
func (sim *simulation) restart(router *simRouter) {
	router.core = New(router.id, "dc")
	router.core.SetLoad(sim.load)
	router.toSend, router.pending, router.applied, router.frozen = nil, nil, 0, false
	for _, u := range router.upstream {
		u.abandoned = true
	}
	sim.expire(router)
	sim.dropLinks(router)
	sim.announce(router)
}

func (sim *simulation) announce(router *simRouter) {
	router.core.Announce(sim.now, fleet.Upstream{Name: "u-" + string(router.id), Service: "pay", Address: "a", Boot: fmt.Sprint(sim.random.IntN(2)), Slots: 2, ColdSlots: 1})
}

// dropLinks loses the messages in transit; callers learn nothing of their
// calls.
func (sim *simulation) dropLinks(router *simRouter) {
	router.links = map[uint64][]message{}
	sim.links++
	router.link = sim.links
}

// expire ends a router's session at control.
func (sim *simulation) expire(router *simRouter) {
	var changed []fleet.Shard
	for i := range sim.shards {
		if s := &sim.shards[i]; s.Phase != fleet.ShardFree && s.Session == router.session {
			s.Phase, s.Session, s.Owner = fleet.ShardFree, 0, ""
			changed = append(changed, *s)
		}
	}
	router.session = 0
	sim.publish(changed...)
}

func (sim *simulation) publish(changed ...fleet.Shard) {
	if len(changed) == 0 {
		return
	}
	change := fleet.Change{From: sim.version, To: sim.version + 1, Shards: changed}
	sim.version++
	for _, router := range sim.routers {
		router.pending = append(router.pending, change)
	}
}

// renew renews a router's leases and delivers the changes of the view since the
// last renewal. The answer may be delayed; the leases count from when the
// renewal was sent.
func (sim *simulation) renew(router *simRouter) {
	if router.session != 0 && sim.now >= router.expires {
		sim.expire(router)
	}
	if router.session == 0 {
		sim.sessions++
		router.session, router.applied = sim.sessions, 0
	}
	sent := sim.now
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(30)) * time.Millisecond)
	router.expires = sim.now.Add(simLease + simLeaseMargin)
	if router.applied == 0 {
		full := &fleet.Change{Full: true, To: sim.version, Preset: sim.preset()}
		for _, other := range sim.routers {
			full.Routers = append(full.Routers, fleet.Router{ID: other.id, Upstream: fleet.Upstream{Name: "u", Service: "pay"}})
		}
		for _, s := range sim.shards {
			if s.Epoch > 0 {
				full.Shards = append(full.Shards, s)
			}
		}
		router.core.SetView(sim.now, full)
		router.pending = nil
	}
	for ; len(router.pending) > 0 && sim.random.IntN(4) > 0; router.pending = router.pending[1:] {
		change := router.pending[0]
		router.core.SetView(sim.now, &change)
	}
	router.applied = 1
	router.core.SetLease(sim.now, router.session, sent.Add(simLease), sent.Add(3*simLease))
}

// changeShard expires sessions, then grants a free shard or revokes a granted
// one.
func (sim *simulation) changeShard() {
	for _, router := range sim.routers {
		if router.session != 0 && sim.now >= router.expires {
			sim.expire(router)
		}
	}
	s := &sim.shards[sim.random.IntN(simShards)]
	router := sim.routers[sim.random.IntN(len(sim.routers))]
	switch {
	case s.Phase == fleet.ShardFree && router.session != 0:
		s.Phase, s.Owner, s.Session, s.Epoch = fleet.ShardGranted, router.id, router.session, s.Epoch+1
	case s.Phase == fleet.ShardGranted && sim.random.IntN(6) == 0:
		s.Phase = fleet.ShardRevoking
	default:
		return
	}
	sim.publish(*s)
}

// attempt sends a request, marked as a resend if an earlier attempt may have
// run.
func (sim *simulation) attempt(r *request) {
	shard := sim.shards[r.shard]
	to := sim.routers[sim.random.IntN(len(sim.routers))]
	for _, router := range sim.routers {
		if router.id == shard.Owner && sim.random.IntN(8) > 0 {
			to = router
		}
	}
	sim.number++
	r.open = sim.number
	r.attempt++
	sim.calls[sim.number] = r
	sim.sendMessage(to, message{
		request: &call.Call{Number: sim.number, RequestID: r.id, Service: "pay", Operation: "charge", Key: r.id, Sharded: true, Shard: r.shard, Resend: !r.provedNotRun, Body: []byte(r.id)},
		timeout: time.Duration(50+sim.random.IntN(600)) * time.Millisecond,
	})
}

func (sim *simulation) sendMessage(router *simRouter, msg message) {
	router.links[router.link] = append(router.links[router.link], msg)
}

// callerStep starts a new request, or resends a recent one, often after
// cancelling the open attempt.
func (sim *simulation) callerStep() {
	if sim.random.IntN(2) == 0 {
		r := &request{id: fmt.Sprint("id-", len(sim.requests)), shard: uint32(sim.random.IntN(simShards)), first: sim.now, provedNotRun: true}
		sim.requests = append(sim.requests, r)
		sim.byID[r.id] = r
		sim.attempt(r)
		return
	}
	recent := sim.requests[max(0, len(sim.requests)-simRecentRequests):]
	if len(recent) == 0 {
		return
	}
	r := recent[sim.random.IntN(len(recent))]
	if r.done || sim.now.Sub(r.first) > simRecordWindow-2*time.Second {
		return
	}
	if r.open != 0 { // the answer was lost, or the caller stopped waiting
		if router := sim.routers[sim.random.IntN(len(sim.routers))]; sim.random.IntN(2) == 0 {
			sim.sendMessage(router, message{cancel: r.open})
		}
		r.provedNotRun = false
	}
	sim.attempt(r)
}

// deliver passes the next message of a link to its executor.
func (sim *simulation) deliver(router *simRouter) {
	queue := router.links[router.link]
	if len(queue) == 0 {
		return
	}
	msg := queue[0]
	router.links[router.link] = queue[1:]
	if msg.request == nil {
		router.core.Cancel(sim.now, Ticket{Link: router.link, Number: msg.cancel})
		return
	}
	msg.request.Deadline = sim.now.Add(msg.timeout)
	if sim.load.timed() {
		msg.request.Method, msg.request.Objective = "POST", sim.now.Add(msg.timeout/2)
		msg.request.Priority, msg.request.Nested = sim.random.IntN(3), sim.random.IntN(4) == 0
	}
	router.core.Submit(sim.now, Ticket{Link: router.link, Number: msg.request.Number}, *msg.request)
}

// collect carries out an executor's output.
func (sim *simulation) collect(router *simRouter) {
	out := router.core.Take()
	router.toSend = append(router.toSend, out.Runs...)
	for _, d := range out.Delegations {
		sim.sendDelegated(delegated{from: router, core: router.core, run: d.Run, call: d.Call})
	}
	for _, reply := range out.Replies {
		if reply.Ticket.Link == router.link {
			sim.answered(router, reply.Answer)
		}
	}
	for _, release := range out.Releases {
		sim.release(router, release.Shard.Number, release.Epoch)
	}
}

// release returns a shard to control. No run of it may be in flight or unsent
// at this router.
func (sim *simulation) release(router *simRouter, number uint32, epoch fleet.Epoch) {
	for _, u := range router.upstream {
		if !u.abandoned && u.run.Call.Sharded && u.run.Call.Shard == number {
			sim.fail("shard %d released by %s while %s runs", number, router.id, u.run.Call.RequestID)
		}
	}
	for _, run := range router.toSend {
		if run.Call.Sharded && run.Call.Shard == number {
			sim.fail("shard %d released by %s while %s is being sent", number, router.id, run.Call.RequestID)
		}
	}
	if s := &sim.shards[number]; s.Epoch == epoch && s.Session == router.session && s.Phase == fleet.ShardRevoking {
		s.Phase, s.Session, s.Owner = fleet.ShardFree, 0, ""
		sim.publish(*s)
	}
}

func (sim *simulation) answered(router *simRouter, answer call.Answer) {
	if d, ok := sim.delegations[answer.Number]; ok {
		sim.delegatedAnswer(d, answer)
		return
	}
	r := sim.calls[answer.Number]
	if r == nil {
		sim.fail("answer for unknown call %d", answer.Number)
	}
	sim.outcomes[answer.Verdict.String()+" "+string(answer.Reason)]++
	delete(sim.calls, answer.Number)
	if answer.RequestID != r.id {
		sim.fail("%s got the answer of %s", r.id, answer.RequestID)
	}
	if answer.Verdict == verdict.Ran && (string(answer.Body) != r.id || r.ran != 1) {
		sim.fail("%s got body %q and ran %d times", r.id, answer.Body, r.ran)
	}
	if answer.Verdict == verdict.NotRun && r.ran > 0 && r.attempt == 1 {
		sim.fail("%s was told not-run (%s) but ran", r.id, answer.Reason)
	}
	if answer.Verdict == verdict.NotRun && r.ran > 0 && answer.Reason != verdict.ReasonNotOwner && answer.Reason != verdict.ReasonLeaseExpired && answer.Reason != verdict.ReasonViewStale && answer.Reason != verdict.ReasonNoUpstream {
		sim.fail("a resend of %s was told not-run (%s) but ran", r.id, answer.Reason)
	}
	if answer.Number != r.open {
		return
	}
	r.open = 0
	r.done = answer.Verdict == verdict.Ran
	if answer.Verdict == verdict.MayHaveRun {
		r.provedNotRun = false
	}
}

// send lets a sender hand its next run to the upstream unless the fence has
// passed, and checks that control still grants the shard under the run's epoch.
func (sim *simulation) send(router *simRouter) {
	if len(router.toSend) == 0 {
		return
	}
	run := router.toSend[0]
	router.toSend = router.toSend[1:]
	if sim.now >= run.Fence || sim.random.IntN(20) == 0 {
		sim.complete(router, &run, verdict.NotRun, verdict.ReasonConnection)
		return
	}
	if s := sim.shards[run.Call.Shard]; run.Call.Sharded && (s.Epoch != run.Epoch || s.Session != router.session) {
		sim.fail("%s is handed over by %s under epoch %d, control is at %d", run.Call.RequestID, router.id, run.Epoch, s.Epoch)
	}
	router.upstream = append(router.upstream, &sentRun{run: run})
	running := 0
	for _, u := range router.upstream {
		if !u.abandoned {
			running++
		}
	}
	if running > 2 {
		sim.fail("%d runs at once at %s", running, router.id)
	}
}

// work advances a run at an upstream: it runs and answers, it is shed, or the
// connection breaks first and it runs later or never.
func (sim *simulation) work(router *simRouter) {
	if len(router.upstream) == 0 {
		return
	}
	i := sim.random.IntN(len(router.upstream))
	u := router.upstream[i]
	if !u.abandoned && sim.random.IntN(6) == 0 {
		u.abandoned = true
		sim.complete(router, &u.run, verdict.MayHaveRun, verdict.ReasonConnection)
		return
	}
	router.upstream = append(router.upstream[:i], router.upstream[i+1:]...)
	shed := sim.random.IntN(8) == 0
	if !shed {
		sim.execute(&u.run)
	}
	switch {
	case u.abandoned:
	case shed:
		sim.complete(router, &u.run, verdict.NotRun, verdict.ReasonShed)
	default:
		sim.complete(router, &u.run, verdict.Ran, verdict.ReasonNone)
	}
}

func (sim *simulation) execute(run *Run) {
	r := sim.byID[run.Call.RequestID]
	r.ran++
	if r.ran > 1 {
		sim.fail("%s ran twice", r.id)
	}
}

func (sim *simulation) complete(router *simRouter, run *Run, v verdict.Verdict, reason verdict.Reason) {
	answer := call.Refusal(&run.Call, v, reason)
	if v == verdict.Ran {
		answer.Status, answer.Body = 200, run.Call.Body
	}
	health := admission.Good
	if v != verdict.Ran {
		health = admission.Outcome(sim.random.IntN(5))
	}
	router.core.Complete(sim.now, Outcome{Run: run.ID, Answer: answer, Health: health})
}

// step takes one random action at one random router.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(5)) * time.Millisecond)
	router := sim.routers[sim.random.IntN(len(sim.routers))]
	switch sim.random.IntN(40) {
	case 0:
		router.frozen = !router.frozen && sim.random.IntN(4) == 0
	case 1:
		if sim.random.IntN(10) == 0 {
			sim.restart(router)
		}
	case 2:
		if sim.random.IntN(4) == 0 {
			link := router.link
			sim.dropLinks(router)
			router.core.CancelLink(sim.now, link)
		}
	case 3, 4, 5:
		sim.changeShard()
	case 6, 7, 8, 9, 10, 11:
		sim.callerStep()
	case 12:
		if sim.random.IntN(4) == 0 {
			sim.now = sim.now.Add(time.Duration(sim.random.IntN(800)) * time.Millisecond)
		}
	default:
		if !router.frozen {
			sim.routerStep(router)
		}
	}
	sim.collect(router)
}

func (sim *simulation) routerStep(router *simRouter) {
	switch sim.random.IntN(14) {
	case 0, 1, 2:
		sim.renew(router)
	case 3:
		sim.announce(router)
	case 4:
		if sim.random.IntN(20) == 0 {
			router.core.Leave(sim.now)
		}
	case 5, 6, 7:
		sim.deliver(router)
	case 8, 9:
		sim.send(router)
	case 10, 11, 12:
		sim.work(router)
	default:
		if router.core.Deadline() <= sim.now {
			router.core.Tick(sim.now)
		}
	}
}

// settle ends every run; afterwards each executor must be idle.
func (sim *simulation) settle() {
	for _, router := range sim.routers {
		router.frozen = false
		for range 200 {
			sim.now = sim.now.Add(20 * time.Millisecond)
			sim.send(router)
			sim.work(router)
			router.core.Tick(sim.now)
			sim.collect(router)
		}
		if !router.core.Idle() || len(router.core.tickets) != 0 || router.core.limiter.Running() != 0 {
			sim.fail("%s is not idle: %d jobs, %d tickets, %d running", router.id, len(router.core.jobs), len(router.core.tickets), router.core.limiter.Running())
		}
	}
}

// sendDelegated sends a delegated call to another executor.
func (sim *simulation) sendDelegated(d delegated) {
	to := sim.routers[sim.random.IntN(len(sim.routers))]
	if to == d.from {
		to = sim.routers[(sim.random.IntN(2)+1)%len(sim.routers)]
	}
	sim.number++
	d.tries++
	sim.delegations[sim.number] = d
	request := d.call
	request.Number, request.Sharded, request.Recorded = sim.number, false, true
	sim.sendMessage(to, message{request: &request, timeout: d.call.Deadline.Sub(sim.now)})
}

// delegatedAnswer handles the answer to a delegated call: it tries another
// executor after not-run, and otherwise completes the delegation or loses the
// answer.
func (sim *simulation) delegatedAnswer(d delegated, answer call.Answer) {
	if answer.Verdict == verdict.NotRun && d.tries < 3 && sim.now < d.call.Deadline {
		sim.sendDelegated(d)
		return
	}
	sim.outcomes["delegated "+answer.Verdict.String()]++
	if d.from.core == d.core && sim.random.IntN(8) > 0 {
		d.core.Complete(sim.now, Outcome{Run: d.run, Answer: answer})
	}
}
