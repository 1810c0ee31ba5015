package consensus

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	openVoters = 5
	openCopies = 3
	// repairTarget bounds the time from a node's start to its vote, when a place
	// is free.
	repairTarget = 4 * time.Second
)

// newOpenGroup returns a world of an open group: three of its machines are known
// to all, and spares start later.
func newOpenGroup(seed uint64, spares int) *world {
	w := newWorld(seed, openVoters+spares)
	first := true
	w.configure = func(m *machine, config *Config) {
		config.Peers = []string{"c1", "c2", "c3"}
		config.Open, config.Voters, config.Copies = true, openVoters, openCopies
		config.JoinsOnly = !first
	}
	for _, m := range w.machines[:openVoters] {
		m.start()
	}
	w.runUntil(repairLimit, func() bool { return w.leader() != nil })
	first = false
	return w
}

func (w *world) hasAllVoters() bool {
	return len(w.membership.Voters) == openVoters && w.leader() != nil
}

func (w *world) isVoter(m *machine) bool { return m.core != nil && w.membership.IsVoter(m.id()) }

// TestOpenGroupGrowsToItsVoters starts five machines that know three names.
func TestOpenGroupGrowsToItsVoters(t *testing.T) {
	for seed := range uint64(20) {
		w := newOpenGroup(seed, 0)
		assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.violation, "")
	}
}

// TestOpenGroupReplacesAMachine takes a machine away for good and starts one at
// another address, which is told of seeds of which one is gone.
func TestOpenGroupReplacesAMachine(t *testing.T) {
	for seed := range uint64(20) {
		w := newOpenGroup(seed, 1)
		assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters))
		w.propose()
		spare := w.machines[openVoters]
		w.machines[w.random.IntN(openVoters)].kill()
		spare.start()
		assert.Assert(t, w.runUntil(repairTarget, func() bool { return w.isVoter(spare) && w.hasAllVoters() }), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.violation, "")
	}
}

// TestOpenGroupKeepsSpareAsLearner starts a sixth machine beside five voters.
func TestOpenGroupKeepsSpareAsLearner(t *testing.T) {
	w := newOpenGroup(1, 1)
	assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters))
	w.machines[openVoters].start()
	w.advance(repairTarget)
	assert.Assert(t, w.hasAllVoters())
	assert.Assert(t, slices.Contains(w.membership.Learners, w.machines[openVoters].id()), w.describe())
}

// TestOpenGroupSurvivesTheTolerance loses two disks at once, those of the seeds
// too, perhaps while all others lose power, and expects all that was committed.
func TestOpenGroupSurvivesTheTolerance(t *testing.T) {
	for seed := range uint64(60) {
		w := newOpenGroup(seed, 0)
		assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters))
		w.propose()
		w.advance(w.jitter(time.Second))
		before := len(w.committedStates)
		lost := w.random.Perm(openVoters)[:2]
		for i, m := range w.machines {
			if slices.Contains(lost, i) {
				m.loseDisk()
			} else if seed%2 == 0 {
				m.kill()
			}
		}
		w.advance(w.jitter(2 * time.Second))
		for _, m := range w.machines {
			m.start()
		}
		assert.Assert(t, w.runUntil(2*repairTarget, w.recovered), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.violation, "", "seed %d", seed)
		assert.Assert(t, len(w.committedStates) >= before)
	}
}

// TestNothingIsCommittedOnTooFewDisks cuts all but two of a young group off.
func TestNothingIsCommittedOnTooFewDisks(t *testing.T) {
	c := New(Config{ID: idA, Copies: openCopies, HeartbeatInterval: heartbeat, ElectionTimeout: election}, &Stored{}, startTime)
	c.log.restore(Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []NodeID{idA, idB, idC}}})
	c.hardState = HardState{Term: 2}
	c.adoptMembership()
	c.becomeLeader()
	index, _, err := c.Propose([]byte("x"))
	assert.NilError(t, err)
	c.Persisted(index, 2, startTime)
	c.progress[idB].match = index
	c.advanceCommit()
	assert.Assert(t, c.CommitIndex() < index)
	c.progress[idC].match = index
	c.advanceCommit()
	assert.Equal(t, c.CommitIndex(), index)
}

// TestEmptyNodeWithoutSeedsIsFound gives a wiped machine seeds that are gone:
// the leader, which goes on to address its old disk, is its way back.
func TestEmptyNodeWithoutSeedsIsFound(t *testing.T) {
	w := newOpenGroup(3, 0)
	assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters))
	configure := w.configure
	w.configure = func(m *machine, config *Config) {
		configure(m, config)
		config.Peers = []string{m.name}
	}
	last := w.machines[4]
	last.replaceDisk()
	assert.Assert(t, w.runUntil(repairTarget, func() bool { return w.isVoter(last) && w.hasAllVoters() }), w.describe())
}

// TestNodeWithoutMembershipSleeps lets a node wait long for the others: it asks
// to be woken later than now each time.
func TestNodeWithoutMembershipSleeps(t *testing.T) {
	c := New(Config{ID: idA, Peers: []string{"a", "b"}, HeartbeatInterval: heartbeat, ElectionTimeout: election}, &Stored{}, startTime)
	now := startTime
	for range 40 {
		c.Tick(now)
		assert.Assert(t, c.Deadline() > now, "at %v", now.Sub(startTime))
		now = c.Deadline()
	}
	assert.Assert(t, now.Sub(startTime) > 4*election)
}
