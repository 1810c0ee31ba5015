package consensus

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	heartbeat          = 100 * time.Millisecond
	election           = 400 * time.Millisecond
	driftMargin        = 40 * time.Millisecond
	maxDriftPPM        = 30_000 // largest deviation of a clock's rate
	maxControllerDelay = 5 * time.Millisecond
	compactEvery       = 12 // applied entries between snapshots
)

// scheduledStep is a step that runs at a point of virtual time. Steps of the
// same instant run in the order in which they were scheduled.
type scheduledStep struct {
	at, order int64
	run       func()
}

type schedule []scheduledStep

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledStep)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// position identifies an entry by its index and term.
type position struct{ index, term uint64 }

// world simulates a group of machines with virtual time, a lossy network and
// disks that take time to sync. It checks the invariants of Raft after every
// step; violation holds the first one that was broken.
type world struct {
	random    *rand.Rand
	now       int64
	order     int64
	queue     schedule
	machines  []*machine
	faults    faults
	violation string

	leaders          map[uint64]NodeID
	contentHashes    map[position]uint64
	predecessorTerms map[position]uint64
	committedStates  []uint64 // by index: hash of the state machine's state
	committedTerms   []uint64 // by index: term of the committed entry
	membership       Membership
	membershipIndex  uint64
	changes          int
	disks            int
	proposed         uint64
	// configure, if set, changes the configuration of a node that starts.
	configure func(m *machine, config *Config)
}

// faults holds the faults that are in effect.
type faults struct {
	drop, duplicate float64 // probability for each message
	delay           time.Duration
	sync            time.Duration   // longest time of a disk write
	blocked         map[[2]int]bool // by sender and receiver
}

func newWorld(seed uint64, size int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), leaders: map[uint64]NodeID{}, contentHashes: map[position]uint64{}, predecessorTerms: map[position]uint64{},
		committedStates: []uint64{0}, committedTerms: []uint64{0},
	}
	w.heal()
	for i := range size {
		m := &machine{world: w, number: i, name: fmt.Sprintf("c%d", i+1)}
		m.rate = 1 + float64(w.random.IntN(2*maxDriftPPM)-maxDriftPPM)/1e6
		m.offset = int64(time.Hour) + w.random.Int64N(int64(time.Hour))
		w.machines = append(w.machines, m)
		m.loseDisk()
	}
	return w
}

func (w *world) heal() {
	w.faults = faults{delay: 3 * time.Millisecond, sync: 2 * time.Millisecond, blocked: map[[2]int]bool{}}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", time.Duration(w.now)) + fmt.Sprintf(format, args...)
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, scheduledStep{at: w.now + int64(d), order: w.order, run: run})
}

// advance runs the steps that are due within d and stops at a violation.
func (w *world) advance(d time.Duration) bool {
	end := w.now + int64(d)
	for w.violation == "" && len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduledStep)
		w.now = next.at
		next.run()
		w.checkLeases()
	}
	w.now = end
	return w.violation == ""
}

// runUntil advances in small steps until the condition holds, for at most limit,
// and reports whether it held.
func (w *world) runUntil(limit time.Duration, condition func() bool) bool {
	for end := w.now + int64(limit); w.now < end && w.violation == ""; {
		if condition() {
			return true
		}
		w.advance(20 * time.Millisecond)
	}
	return false
}

func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) deliver(from *machine, messages []Message) {
	for _, m := range messages {
		to := w.machines[slices.IndexFunc(w.machines, func(x *machine) bool { return x.name == m.To.Name })]
		if w.faults.blocked[[2]int{from.number, to.number}] || w.random.Float64() < w.faults.drop {
			continue
		}
		copies := 1
		if w.random.Float64() < w.faults.duplicate {
			copies = 2
		}
		for range copies {
			w.after(time.Millisecond+w.jitter(w.faults.delay), func() { to.receive(m) })
		}
	}
}

// leader returns a machine whose node is leader with a valid lease, or nil.
func (w *world) leader() *machine {
	for _, m := range w.machines {
		if m.core != nil && m.core.Role() == Leader && m.core.LeaseUntil() > m.clock() {
			return m
		}
	}
	return nil
}

// checkLeases checks that at most one machine's controller holds a lease, each
// by its own clock.
func (w *world) checkLeases() {
	var holder *machine
	for _, m := range w.machines {
		if m.core == nil || m.leaseExpiry <= m.clock() {
			continue
		}
		if holder != nil {
			w.fail("%s and %s both hold a lease", holder.id(), m.id())
		}
		holder = m
	}
}

// checkLeader checks that a term has one leader and that a new leader's log
// holds all committed entries.
func (w *world) checkLeader(c *Core) {
	if c.role != Leader {
		return
	}
	if other, ok := w.leaders[c.hardState.Term]; ok {
		if other != c.config.ID {
			w.fail("%s and %s are both leaders of term %d", other, c.config.ID, c.hardState.Term)
		}
		return
	}
	w.leaders[c.hardState.Term] = c.config.ID
	for index := c.log.snapshot.Index + 1; index < uint64(len(w.committedStates)); index++ {
		if term, ok := c.log.term(index); !ok || term != w.committedTerms[index] {
			w.fail("leader %s of term %d lacks committed entry %d", c.config.ID, c.hardState.Term, index)
			return
		}
	}
}

// checkEntries checks log matching: entries with the same index and term have
// the same content and the same predecessor in every log.
func (w *world) checkEntries(c *Core, entries []Entry) {
	for _, e := range entries {
		at := position{e.Index, e.Term}
		content := contentOf(&e)
		if known, ok := w.contentHashes[at]; ok && known != content {
			w.fail("%s holds a different entry %d of term %d", c.config.ID, e.Index, e.Term)
		}
		w.contentHashes[at] = content
		before, ok := c.log.term(e.Index - 1)
		if !ok {
			continue
		}
		if known, seen := w.predecessorTerms[at]; seen && known != before {
			w.fail("%s holds entry %d of term %d after term %d, not %d", c.config.ID, e.Index, e.Term, before, known)
		}
		w.predecessorTerms[at] = before
	}
}

func contentOf(e *Entry) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(append([]byte{byte(e.Kind)}, e.Data...))
	if e.Membership != nil {
		_, _ = fmt.Fprint(h, *e.Membership)
	}
	return h.Sum64()
}

// checkCommit applies a committed entry and checks that every node commits the
// same entry at its index.
func (w *world) checkCommit(m *machine, e *Entry) {
	if e.Index != m.applied+1 {
		w.fail("%s applies entry %d after %d", m.id(), e.Index, m.applied)
		return
	}
	state := combine(m.state, contentOf(e)^e.Term)
	if e.Index < uint64(len(w.committedStates)) && w.committedStates[e.Index] != state {
		w.fail("%s committed a different entry %d", m.id(), e.Index)
	}
	if e.Index == uint64(len(w.committedStates)) {
		w.committedStates, w.committedTerms = append(w.committedStates, state), append(w.committedTerms, e.Term)
		if e.Membership != nil {
			w.setMembership(*e.Membership, e.Index)
		}
	}
	m.applied, m.state = e.Index, state
}

func (w *world) setMembership(next Membership, index uint64) {
	moved := len(w.membership.Voters) - len(next.Voters)
	if w.membershipIndex > 0 && (moved > 1 || moved < -1) {
		w.fail("membership %v follows %v", next, w.membership)
	}
	w.membership, w.membershipIndex = next, index
	w.changes++
}

func combine(state, next uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], state)
	binary.LittleEndian.PutUint64(buffer[8:], next)
	h := fnv.New64a()
	_, _ = h.Write(buffer[:])
	return h.Sum64()
}

// checkInstall restores a machine's state from a snapshot and checks that it is
// the committed state at its index.
func (w *world) checkInstall(m *machine, s *Snapshot) {
	m.applied, m.state = s.Index, bootstrapState(s)
	if len(s.Data) > 0 {
		m.state = binary.LittleEndian.Uint64(s.Data)
	}
	if s.Index == 1 && len(w.committedStates) == 1 {
		w.committedStates, w.committedTerms = append(w.committedStates, m.state), append(w.committedTerms, s.Term)
		w.membership, w.membershipIndex = s.Membership, 1
	}
	if s.Index == 1 && len(w.committedStates) == 2 {
		// No entry was committed since the first membership was formed, so
		// another first membership may replace it.
		w.committedStates[1], w.committedTerms[1], w.membership = m.state, s.Term, s.Membership
	}
	if s.Index >= uint64(len(w.committedStates)) || w.committedStates[s.Index] != m.state {
		w.fail("%s installs snapshot %d, which does not match the committed state", m.id(), s.Index)
	}
}

// bootstrapState returns the state that stands for a first membership.
func bootstrapState(s *Snapshot) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, s.Membership, s.Term)
	return h.Sum64()
}

// toleratesLoss reports whether the log must survive the loss of the machine's
// disk: a majority of every node's latest membership remains. Before the first
// entry is committed, a first membership may be in a message that no disk holds
// yet, so the number of lost disks is limited.
func (w *world) toleratesLoss(lost *machine) bool {
	if len(w.committedStates) <= 2 && w.disks >= len(w.machines)+(len(w.machines)-1)/2 {
		return false
	}
	alive := map[NodeID]bool{}
	for _, m := range w.machines {
		alive[m.id()] = m != lost
	}
	for _, m := range w.machines {
		membership := m.latestMembership()
		live := 0
		for _, id := range membership.Voters {
			if alive[id] {
				live++
			}
		}
		if len(membership.Voters) > 0 && live < membership.Quorum() {
			return false
		}
	}
	return true
}

// recovered reports whether every machine is a voter with its current disk and
// has applied all committed entries, and a leader holds a lease.
func (w *world) recovered() bool {
	for _, m := range w.machines {
		if m.core == nil || !w.membership.IsVoter(m.id()) || m.applied+1 != uint64(len(w.committedStates)) {
			return false
		}
	}
	return w.leader() != nil && len(w.membership.Voters) == len(w.machines) && len(w.membership.Learners) == 0
}

// checkRecovery ends all faults and checks that within a bounded time a leader
// is elected, all machines are voters again and the log advances.
func (w *world) checkRecovery() {
	w.heal()
	for _, m := range w.machines {
		m.resume()
		m.start()
	}
	limit := 40 * election
	if !w.runUntil(limit, w.recovered) {
		w.fail("not recovered %v after the last fault: %s", limit, w.describe())
		return
	}
	before := len(w.committedStates)
	w.propose()
	if !w.runUntil(4*election, func() bool { return len(w.committedStates) > before && w.recovered() }) {
		w.fail("no entry committed after recovery: %s", w.describe())
	}
}

func (w *world) propose() {
	for _, m := range w.machines {
		if m.core != nil && !m.frozen && m.core.Role() == Leader {
			w.proposed++
			m.step(func() { _, _, _ = m.core.Propose(binary.LittleEndian.AppendUint64(nil, w.proposed)) })
		}
	}
}

func (w *world) describe() string {
	out := fmt.Sprintf("committed %d membership %v\n", len(w.committedStates)-1, w.membership)
	for _, m := range w.machines {
		if m.core == nil {
			out += m.id().String() + " down\n"
			continue
		}
		c := m.core
		out += fmt.Sprintf("%s %s term %d leader %s last %d committed %d snapshot %d applied %d membership %v lease %v\n",
			m.id(), c.role, c.hardState.Term, c.leader, c.log.lastIndex(), c.log.committed, c.log.snapshot.Index, m.applied, c.membership,
			time.Duration(c.LeaseUntil()-m.clock()))
	}
	return out
}
