package consensus

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	openVoters    = 5
	openMinCopies = 3
	// repairTarget bounds the time from a node's start to its vote if a voter is
	// missing.
	repairTarget = 4 * time.Second
)

// newOpenGroup returns a world with an open group. Three of the machines are
// the seeds of all; the spares are not started.
func newOpenGroup(seed uint64, spares int) *world {
	w := newWorld(seed, openVoters+spares)
	first := true
	w.configure = func(m *machine, config *Config) {
		config.Peers = []string{"c1", "c2", "c3"}
		config.Open, config.Voters, config.MinCopies = true, openVoters, openMinCopies
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

// TestOpenGroupGrowsToItsVoters starts five machines with three seeds, all of
// which must become voters.
func TestOpenGroupGrowsToItsVoters(t *testing.T) {
	for seed := range uint64(20) {
		w := newOpenGroup(seed, 0)
		assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.violation, "")
	}
}

// TestOpenGroupReplacesAMachine stops a machine for good, perhaps a seed, and
// starts a new one under another name, which must become a voter in its place.
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

// TestOpenGroupKeepsSpareAsLearner starts a sixth machine beside five voters
// that respond: it must stay a learner.
func TestOpenGroupKeepsSpareAsLearner(t *testing.T) {
	w := newOpenGroup(1, 1)
	assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters))
	w.machines[openVoters].start()
	w.advance(repairTarget)
	assert.Assert(t, w.hasAllVoters())
	assert.Assert(t, slices.Contains(w.membership.Learners, w.machines[openVoters].id()), w.describe())
}

// TestOpenGroupSurvivesTheTolerance loses two disks at once, those of seeds
// included, in half of the runs while all other processes end as well. All
// committed entries must survive.
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

// TestNothingIsCommittedOnTooFewDisks checks that a group of three voters that
// requires three copies commits nothing on a majority of two disks.
func TestNothingIsCommittedOnTooFewDisks(t *testing.T) {
	c := New(Config{ID: idA, MinCopies: openMinCopies, HeartbeatInterval: heartbeat, ElectionTimeout: election}, &Stored{}, startTime)
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

// TestEmptyNodeWithoutSeedsIsFound loses the disk of a machine that has no
// reachable seed. It must find the group through the leader, which still sends
// to its old disk.
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

// TestNodeWithoutMembershipSleeps checks that a node that waits for its peers
// always returns a deadline in the future, so that its duty does not spin.
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
