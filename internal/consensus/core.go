package consensus

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"endivespring/internal/clock"
)

// ErrNotLeader is returned for proposals to a node that is not the leader or is
// transferring leadership.
var ErrNotLeader = eris.New("not the leader")

// Core is one Raft node as a pure state machine. Its owner passes in messages
// (Step), clock readings (Tick), proposals and completed writes (Persisted) and
// carries out the output that Take returns. It is not safe for concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	now    clock.Instant

	hardState HardState
	log       entryLog
	role      Role
	leader    NodeID

	membership      Membership
	membershipIndex uint64

	// lastContact is when this node last received a message from the leader of
	// its term, or stepped down as leader itself. After a restart it is the start
	// time: the node may have answered a heartbeat just before it stopped, so
	// that leader may still hold its lease.
	lastContact clock.Instant
	electionAt  clock.Instant
	heartbeatAt clock.Instant
	votes       map[NodeID]bool
	progress    map[NodeID]*progress
	// selfMatch is the last entry that is on this leader's own disk.
	selfMatch uint64
	// barrierIndex is the index of this leader's barrier.
	barrierIndex uint64
	transferring bool
	transferAt   clock.Instant
	joinAt       clock.Instant
	joiners      map[string]joiner
	// contacts names nodes besides Peers that may know the membership.
	contacts map[string]bool
	output   Output
	// storedHardState is the hard state last handed out to be stored.
	storedHardState HardState
}

// New returns a follower restored from its disk. The caller restores its state
// machine from the stored snapshot; entries after the snapshot are output again
// once they are known to be committed.
func New(config Config, stored *Stored, now clock.Instant) *Core {
	c := &Core{
		config:          config,
		random:          rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		now:             now,
		hardState:       stored.HardState,
		storedHardState: stored.HardState,
		log:             newEntryLog(stored),
		lastContact:     now,
		joinAt:          now,
		joiners:         map[string]joiner{},
		contacts:        map[string]bool{},
	}
	c.membership, c.membershipIndex = c.log.membership()
	c.selfMatch = c.log.lastIndex()
	c.resetElection()
	return c
}

// ID returns the node's name and disk.
func (c *Core) ID() NodeID { return c.config.ID }

// Role returns the node's role in the current term.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.hardState.Term }

// Leader returns the leader of the current term, or the zero NodeID if it is
// unknown.
func (c *Core) Leader() NodeID { return c.leader }

// Membership returns the latest membership in the log, committed or not.
func (c *Core) Membership() Membership { return c.membership }

// CommitIndex returns the highest index that is known to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.committed }

// LastIndex returns the index of the last entry of the log, which may not be on
// disk yet.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// SnapshotIndex returns the index up to which the log is compacted.
func (c *Core) SnapshotIndex() uint64 { return c.log.snapshot.Index }

// Take returns the output accumulated since the last Take and clears it.
func (c *Core) Take() Output {
	out := c.output
	if c.hardState != c.storedHardState {
		hard := c.hardState
		out.HardState = &hard
		c.storedHardState = hard
	}
	c.output = Output{}
	return out
}

// Deadline returns the latest instant at which Tick must be called next.
func (c *Core) Deadline() clock.Instant {
	deadline := c.electionAt
	if c.role == Leader {
		deadline = c.heartbeatAt
	}
	switch {
	case len(c.membership.Voters) == 0:
		deadline = c.joinAt // without voters there is no election
	case c.role != Leader:
		deadline = min(deadline, max(c.joinAt, c.announceAt()))
	}
	return deadline
}

// Tick advances the node's clock, which never goes back, and does what is due:
// heartbeats, elections and announcements.
func (c *Core) Tick(now clock.Instant) {
	c.now = max(c.now, now)
	if c.mustAnnounce() {
		c.tickJoin()
	}
	if len(c.membership.Voters) == 0 {
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now >= c.electionAt {
		c.campaign(PreCandidate)
	}
}

// Propose appends a command and returns its index and term, or ErrNotLeader.
// The command is not committed until it is output as such.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader || c.transferring {
		return 0, 0, ErrNotLeader
	}
	index = c.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return index, c.hardState.Term, nil
}

// Persisted reports that all entries up to index, appended in the given term,
// are on this node's disk. Only then does the leader count itself among the
// disks that hold them. Reports from earlier terms are ignored.
func (c *Core) Persisted(index, term uint64, now clock.Instant) {
	c.now = max(c.now, now)
	if c.role != Leader || term != c.hardState.Term || index <= c.selfMatch {
		return
	}
	c.selfMatch = index
	c.advanceCommit()
}

// Compact replaces the entries up to index by a snapshot of the state machine
// at index, which must have been output as committed. It returns the snapshot
// to store, or false if index is not committed or already compacted.
func (c *Core) Compact(index uint64, data []byte) (*Snapshot, bool) {
	term, ok := c.log.term(index)
	if !ok || index <= c.log.snapshot.Index || index > c.log.committed {
		return nil, false
	}
	s := Snapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}
	c.log.compact(s)
	return &s, true
}

// resetElection restarts the election timeout with new jitter, so that nodes
// seldom campaign at the same time.
func (c *Core) resetElection() {
	jitter := c.random.Int64N(int64(c.config.ElectionTimeout))
	c.electionAt = c.now + clock.Instant(c.config.ElectionTimeout) + clock.Instant(jitter)
}

// becomeFollower enters the term, if it is newer, without a vote and discards the
// state of a leader or candidate.
func (c *Core) becomeFollower(term uint64, leader NodeID) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	if c.role == Leader {
		// The lease's quorum included this node, so it must not vote for
		// another node until the lease has expired.
		c.lastContact = c.now
	}
	c.role = Follower
	c.leader = leader
	c.transferring = false
	c.votes, c.progress = nil, nil
	c.resetElection()
}

func (c *Core) send(m Message) {
	c.stamp(&m)
	c.output.Immediate = append(c.output.Immediate, m)
}

func (c *Core) sendAfterSync(m Message) {
	c.stamp(&m)
	c.output.AfterSync = append(c.output.AfterSync, m)
}

// stamp sets the sender and, unless the message proposes another one, the term.
func (c *Core) stamp(m *Message) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
}

// commitTo outputs the entries up to index as committed, as far as the log holds
// them.
func (c *Core) commitTo(index uint64) {
	index = min(index, c.log.lastIndex())
	if index <= c.log.committed {
		return
	}
	from := c.log.committed + 1
	c.log.committed = index
	committed := c.log.slice(from, int(index-from+1))
	c.output.Committed = append(c.output.Committed, committed...)
}

// EntriesAfterSnapshot returns a copy of the entries after the latest snapshot.
func (c *Core) EntriesAfterSnapshot() []Entry { return slices.Clone(c.log.entries) }
