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
	w := &simulation{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), version: 1,
		calls: map[uint64]*request{}, byID: map[string]*request{}, outcomes: map[string]int{}, delegations: map[uint64]delegated{},
	}
	for i := range w.shards {
		w.shards[i] = fleet.Shard{ID: fleet.ShardID{Service: "pay", Number: uint32(i)}}
	}
	for i := range 3 {
		m := &simRouter{id: fleet.RouterID(fmt.Sprint("r", i))}
		w.routers = append(w.routers, m)
		w.restart(m)
	}
	return w
}

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d: %s", w.seed, fmt.Sprintf(format, args...))
}

func (w *simulation) preset() *fleet.Preset {
	return &fleet.Preset{Services: []fleet.Service{{
		Name: "pay", Keyed: w.seed%3 == 0, Shards: simShards, QueueLimit: 3, RecordWindow: simRecordWindow,
		Operations: []fleet.Operation{{Name: "charge"}},
	}}}
}

// restart replaces a router's process: records, links and unsent runs are lost.
func (w *simulation) restart(m *simRouter) {
	m.core = New(m.id, "dc")
	m.toSend, m.pending, m.applied, m.frozen = nil, nil, 0, false
	for _, u := range m.upstream {
		u.abandoned = true
	}
	w.expire(m)
	w.dropLinks(m)
	w.announce(m)
}

func (w *simulation) announce(m *simRouter) {
	m.core.Announce(w.now, fleet.Upstream{Name: "u-" + string(m.id), Service: "pay", Address: "a", Boot: fmt.Sprint(w.random.IntN(2)), Slots: 2, ColdSlots: 1})
}

// dropLinks loses the messages in transit; callers learn nothing of their
// calls.
func (w *simulation) dropLinks(m *simRouter) {
	m.links = map[uint64][]message{}
	w.links++
	m.link = w.links
}

// expire ends a router's session at control.
func (w *simulation) expire(m *simRouter) {
	var changed []fleet.Shard
	for i := range w.shards {
		if s := &w.shards[i]; s.Phase != fleet.ShardFree && s.Session == m.session {
			s.Phase, s.Session, s.Owner = fleet.ShardFree, 0, ""
			changed = append(changed, *s)
		}
	}
	m.session = 0
	w.publish(changed...)
}

func (w *simulation) publish(changed ...fleet.Shard) {
	if len(changed) == 0 {
		return
	}
	change := fleet.Change{From: w.version, To: w.version + 1, Shards: changed}
	w.version++
	for _, m := range w.routers {
		m.pending = append(m.pending, change)
	}
}

// renew renews a router's leases and delivers the changes of the view since the
// last renewal. The answer may be delayed; the leases count from when the
// renewal was sent.
func (w *simulation) renew(m *simRouter) {
	if m.session != 0 && w.now >= m.expires {
		w.expire(m)
	}
	if m.session == 0 {
		w.sessions++
		m.session, m.applied = w.sessions, 0
	}
	sent := w.now
	w.now = w.now.Add(time.Duration(w.random.IntN(30)) * time.Millisecond)
	m.expires = w.now.Add(simLease + simLeaseMargin)
	if m.applied == 0 {
		full := &fleet.Change{Full: true, To: w.version, Preset: w.preset()}
		for _, other := range w.routers {
			full.Routers = append(full.Routers, fleet.Router{ID: other.id, Upstream: fleet.Upstream{Name: "u", Service: "pay"}})
		}
		for _, s := range w.shards {
			if s.Epoch > 0 {
				full.Shards = append(full.Shards, s)
			}
		}
		m.core.SetView(w.now, full)
		m.pending = nil
	}
	for ; len(m.pending) > 0 && w.random.IntN(4) > 0; m.pending = m.pending[1:] {
		change := m.pending[0]
		m.core.SetView(w.now, &change)
	}
	m.applied = 1
	m.core.SetLease(w.now, m.session, sent.Add(simLease), sent.Add(3*simLease))
}

// changeShard expires sessions, then grants a free shard or revokes a granted
// one.
func (w *simulation) changeShard() {
	for _, m := range w.routers {
		if m.session != 0 && w.now >= m.expires {
			w.expire(m)
		}
	}
	s := &w.shards[w.random.IntN(simShards)]
	m := w.routers[w.random.IntN(len(w.routers))]
	switch {
	case s.Phase == fleet.ShardFree && m.session != 0:
		s.Phase, s.Owner, s.Session, s.Epoch = fleet.ShardGranted, m.id, m.session, s.Epoch+1
	case s.Phase == fleet.ShardGranted && w.random.IntN(6) == 0:
		s.Phase = fleet.ShardRevoking
	default:
		return
	}
	w.publish(*s)
}

// attempt sends a request, marked as a resend if an earlier attempt may have
// run.
func (w *simulation) attempt(r *request) {
	shard := w.shards[r.shard]
	to := w.routers[w.random.IntN(len(w.routers))]
	for _, m := range w.routers {
		if m.id == shard.Owner && w.random.IntN(8) > 0 {
			to = m
		}
	}
	w.number++
	r.open = w.number
	r.attempt++
	w.calls[w.number] = r
	w.sendMessage(to, message{
		request: &call.Call{Number: w.number, RequestID: r.id, Service: "pay", Operation: "charge", Key: r.id, Sharded: true, Shard: r.shard, Resend: !r.provedNotRun, Body: []byte(r.id)},
		timeout: time.Duration(50+w.random.IntN(600)) * time.Millisecond,
	})
}

func (w *simulation) sendMessage(m *simRouter, msg message) {
	m.links[m.link] = append(m.links[m.link], msg)
}

// callerStep starts a new request, or resends a recent one, often after
// cancelling the open attempt.
func (w *simulation) callerStep() {
	if w.random.IntN(2) == 0 {
		r := &request{id: fmt.Sprint("id-", len(w.requests)), shard: uint32(w.random.IntN(simShards)), first: w.now, provedNotRun: true}
		w.requests = append(w.requests, r)
		w.byID[r.id] = r
		w.attempt(r)
		return
	}
	recent := w.requests[max(0, len(w.requests)-simRecentRequests):]
	if len(recent) == 0 {
		return
	}
	r := recent[w.random.IntN(len(recent))]
	if r.done || w.now.Sub(r.first) > simRecordWindow-2*time.Second {
		return
	}
	if r.open != 0 { // the answer was lost, or the caller stopped waiting
		if m := w.routers[w.random.IntN(len(w.routers))]; w.random.IntN(2) == 0 {
			w.sendMessage(m, message{cancel: r.open})
		}
		r.provedNotRun = false
	}
	w.attempt(r)
}

// deliver passes the next message of a link to its executor.
func (w *simulation) deliver(m *simRouter) {
	queue := m.links[m.link]
	if len(queue) == 0 {
		return
	}
	msg := queue[0]
	m.links[m.link] = queue[1:]
	if msg.request == nil {
		m.core.Cancel(w.now, Ticket{Link: m.link, Number: msg.cancel})
		return
	}
	msg.request.Deadline = w.now.Add(msg.timeout)
	m.core.Submit(w.now, Ticket{Link: m.link, Number: msg.request.Number}, *msg.request)
}

// collect carries out an executor's output.
func (w *simulation) collect(m *simRouter) {
	out := m.core.Take()
	m.toSend = append(m.toSend, out.Runs...)
	for _, d := range out.Delegations {
		w.sendDelegated(delegated{from: m, core: m.core, run: d.Run, call: d.Call})
	}
	for _, reply := range out.Replies {
		if reply.Ticket.Link == m.link {
			w.answered(m, reply.Answer)
		}
	}
	for _, release := range out.Releases {
		w.release(m, release.Shard.Number, release.Epoch)
	}
}

// release returns a shard to control. No run of it may be in flight or unsent
// at this router.
func (w *simulation) release(m *simRouter, number uint32, epoch fleet.Epoch) {
	for _, u := range m.upstream {
		if !u.abandoned && u.run.Call.Sharded && u.run.Call.Shard == number {
			w.fail("shard %d released by %s while %s runs", number, m.id, u.run.Call.RequestID)
		}
	}
	for _, run := range m.toSend {
		if run.Call.Sharded && run.Call.Shard == number {
			w.fail("shard %d released by %s while %s is being sent", number, m.id, run.Call.RequestID)
		}
	}
	if s := &w.shards[number]; s.Epoch == epoch && s.Session == m.session && s.Phase == fleet.ShardRevoking {
		s.Phase, s.Session, s.Owner = fleet.ShardFree, 0, ""
		w.publish(*s)
	}
}

func (w *simulation) answered(m *simRouter, answer call.Answer) {
	if d, ok := w.delegations[answer.Number]; ok {
		w.delegatedAnswer(d, answer)
		return
	}
	r := w.calls[answer.Number]
	if r == nil {
		w.fail("answer for unknown call %d", answer.Number)
	}
	w.outcomes[answer.Verdict.String()+" "+string(answer.Reason)]++
	delete(w.calls, answer.Number)
	if answer.RequestID != r.id {
		w.fail("%s got the answer of %s", r.id, answer.RequestID)
	}
	if answer.Verdict == verdict.Ran && (string(answer.Body) != r.id || r.ran != 1) {
		w.fail("%s got body %q and ran %d times", r.id, answer.Body, r.ran)
	}
	if answer.Verdict == verdict.NotRun && r.ran > 0 && r.attempt == 1 {
		w.fail("%s was told not-run (%s) but ran", r.id, answer.Reason)
	}
	if answer.Verdict == verdict.NotRun && r.ran > 0 && answer.Reason != verdict.ReasonNotOwner && answer.Reason != verdict.ReasonLeaseExpired && answer.Reason != verdict.ReasonViewStale && answer.Reason != verdict.ReasonNoUpstream {
		w.fail("a resend of %s was told not-run (%s) but ran", r.id, answer.Reason)
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
func (w *simulation) send(m *simRouter) {
	if len(m.toSend) == 0 {
		return
	}
	run := m.toSend[0]
	m.toSend = m.toSend[1:]
	if w.now >= run.Fence || w.random.IntN(20) == 0 {
		w.complete(m, &run, verdict.NotRun, verdict.ReasonConnection)
		return
	}
	if s := w.shards[run.Call.Shard]; run.Call.Sharded && (s.Epoch != run.Epoch || s.Session != m.session) {
		w.fail("%s is handed over by %s under epoch %d, control is at %d", run.Call.RequestID, m.id, run.Epoch, s.Epoch)
	}
	m.upstream = append(m.upstream, &sentRun{run: run})
	running := 0
	for _, u := range m.upstream {
		if !u.abandoned {
			running++
		}
	}
	if running > 2 {
		w.fail("%d runs at once at %s", running, m.id)
	}
}

// work advances a run at an upstream: it runs and answers, it is shed, or the
// connection breaks first and it runs later or never.
func (w *simulation) work(m *simRouter) {
	if len(m.upstream) == 0 {
		return
	}
	i := w.random.IntN(len(m.upstream))
	u := m.upstream[i]
	if !u.abandoned && w.random.IntN(6) == 0 {
		u.abandoned = true
		w.complete(m, &u.run, verdict.MayHaveRun, verdict.ReasonConnection)
		return
	}
	m.upstream = append(m.upstream[:i], m.upstream[i+1:]...)
	shed := w.random.IntN(8) == 0
	if !shed {
		w.execute(&u.run)
	}
	switch {
	case u.abandoned:
	case shed:
		w.complete(m, &u.run, verdict.NotRun, verdict.ReasonShed)
	default:
		w.complete(m, &u.run, verdict.Ran, verdict.ReasonNone)
	}
}

func (w *simulation) execute(run *Run) {
	r := w.byID[run.Call.RequestID]
	r.ran++
	if r.ran > 1 {
		w.fail("%s ran twice", r.id)
	}
}

func (w *simulation) complete(m *simRouter, run *Run, v verdict.Verdict, reason verdict.Reason) {
	answer := call.Refusal(&run.Call, v, reason)
	if v == verdict.Ran {
		answer.Status, answer.Body = 200, run.Call.Body
	}
	health := admission.Good
	if v != verdict.Ran {
		health = admission.Outcome(w.random.IntN(5))
	}
	m.core.Complete(w.now, Outcome{Run: run.ID, Answer: answer, Health: health})
}

// step takes one random action at one random router.
func (w *simulation) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(5)) * time.Millisecond)
	m := w.routers[w.random.IntN(len(w.routers))]
	switch w.random.IntN(40) {
	case 0:
		m.frozen = !m.frozen && w.random.IntN(4) == 0
	case 1:
		if w.random.IntN(10) == 0 {
			w.restart(m)
		}
	case 2:
		if w.random.IntN(4) == 0 {
			link := m.link
			w.dropLinks(m)
			m.core.CancelLink(w.now, link)
		}
	case 3, 4, 5:
		w.changeShard()
	case 6, 7, 8, 9, 10, 11:
		w.callerStep()
	case 12:
		if w.random.IntN(4) == 0 {
			w.now = w.now.Add(time.Duration(w.random.IntN(800)) * time.Millisecond)
		}
	default:
		if !m.frozen {
			w.routerStep(m)
		}
	}
	w.collect(m)
}

func (w *simulation) routerStep(m *simRouter) {
	switch w.random.IntN(14) {
	case 0, 1, 2:
		w.renew(m)
	case 3:
		w.announce(m)
	case 4:
		if w.random.IntN(20) == 0 {
			m.core.Leave(w.now)
		}
	case 5, 6, 7:
		w.deliver(m)
	case 8, 9:
		w.send(m)
	case 10, 11, 12:
		w.work(m)
	default:
		if m.core.Deadline() <= w.now {
			m.core.Tick(w.now)
		}
	}
}

// settle ends every run; afterwards each executor must be idle.
func (w *simulation) settle() {
	for _, m := range w.routers {
		m.frozen = false
		for range 200 {
			w.now = w.now.Add(20 * time.Millisecond)
			w.send(m)
			w.work(m)
			m.core.Tick(w.now)
			w.collect(m)
		}
		if !m.core.Idle() || len(m.core.tickets) != 0 || m.core.limiter.Running() != 0 {
			w.fail("%s is not idle: %d jobs, %d tickets, %d running", m.id, len(m.core.jobs), len(m.core.tickets), m.core.limiter.Running())
		}
	}
}

// sendDelegated sends a delegated call to another executor.
func (w *simulation) sendDelegated(d delegated) {
	to := w.routers[w.random.IntN(len(w.routers))]
	if to == d.from {
		to = w.routers[(w.random.IntN(2)+1)%len(w.routers)]
	}
	w.number++
	d.tries++
	w.delegations[w.number] = d
	request := d.call
	request.Number, request.Sharded, request.Recorded = w.number, false, true
	w.sendMessage(to, message{request: &request, timeout: d.call.Deadline.Sub(w.now)})
}

// delegatedAnswer handles the answer to a delegated call: it tries another
// executor after not-run, and otherwise completes the delegation or loses the
// answer.
func (w *simulation) delegatedAnswer(d delegated, answer call.Answer) {
	if answer.Verdict == verdict.NotRun && d.tries < 3 && w.now < d.call.Deadline {
		w.sendDelegated(d)
		return
	}
	w.outcomes["delegated "+answer.Verdict.String()]++
	if d.from.core == d.core && w.random.IntN(8) > 0 {
		d.core.Complete(w.now, Outcome{Run: d.run, Answer: answer})
	}
}
