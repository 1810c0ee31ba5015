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

// openWorld returns a world of an open group: three of its machines are known
// to all, and spares start later.
func openWorld(seed uint64, spares int) *world {
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
	w.until(repairLimit, func() bool { return w.leader() != nil })
	first = false
	return w
}

func (w *world) grown() bool { return len(w.roster.Voters) == openVoters && w.leader() != nil }

func (w *world) votes(m *machine) bool { return m.core != nil && w.roster.IsVoter(m.id()) }

// TestOpenGroupGrowsToItsVoters starts five machines that know three names.
func TestOpenGroupGrowsToItsVoters(t *testing.T) {
	for seed := range uint64(20) {
		w := openWorld(seed, 0)
		assert.Assert(t, w.until(repairTarget, w.grown), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.problem, "")
	}
}

// TestOpenGroupReplacesAMachine takes a machine away for good and starts one at
// another address, which is told of seeds of which one is gone.
func TestOpenGroupReplacesAMachine(t *testing.T) {
	for seed := range uint64(20) {
		w := openWorld(seed, 1)
		assert.Assert(t, w.until(repairTarget, w.grown))
		w.propose()
		spare := w.machines[openVoters]
		w.machines[w.random.IntN(openVoters)].kill()
		spare.start()
		assert.Assert(t, w.until(repairTarget, func() bool { return w.votes(spare) && w.grown() }), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.problem, "")
	}
}

// TestOpenGroupKeepsSpareAsLearner starts a sixth machine beside five voters.
func TestOpenGroupKeepsSpareAsLearner(t *testing.T) {
	w := openWorld(1, 1)
	assert.Assert(t, w.until(repairTarget, w.grown))
	w.machines[openVoters].start()
	w.advance(repairTarget)
	assert.Assert(t, w.grown())
	assert.Assert(t, slices.Contains(w.roster.Learners, w.machines[openVoters].id()), w.describe())
}

// TestOpenGroupSurvivesTheTolerance loses two disks at once, those of the seeds
// too, perhaps while all others lose power, and expects all that was committed.
func TestOpenGroupSurvivesTheTolerance(t *testing.T) {
	for seed := range uint64(60) {
		w := openWorld(seed, 0)
		assert.Assert(t, w.until(repairTarget, w.grown))
		w.propose()
		w.advance(w.jitter(time.Second))
		before := len(w.committed)
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
		assert.Assert(t, w.until(2*repairTarget, w.whole), "seed %d: %s", seed, w.describe())
		assert.Equal(t, w.problem, "", "seed %d", seed)
		assert.Assert(t, len(w.committed) >= before)
	}
}

// TestNothingIsCommittedOnTooFewDisks cuts all but two of a young group off.
func TestNothingIsCommittedOnTooFewDisks(t *testing.T) {
	c := New(Config{ID: idA, Copies: openCopies, HeartbeatInterval: heartbeat, ElectionTimeout: election}, &Stored{}, origin)
	c.log.restore(Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: []NodeID{idA, idB, idC}}})
	c.hard = HardState{Term: 2}
	c.adoptMembership()
	c.becomeLeader()
	index, _, err := c.Propose([]byte("x"))
	assert.NilError(t, err)
	c.Persisted(index, 2, origin)
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
	w := openWorld(3, 0)
	assert.Assert(t, w.until(repairTarget, w.grown))
	configure := w.configure
	w.configure = func(m *machine, config *Config) {
		configure(m, config)
		config.Peers = []string{m.name}
	}
	last := w.machines[4]
	last.emptyDisk()
	assert.Assert(t, w.until(repairTarget, func() bool { return w.votes(last) && w.grown() }), w.describe())
}

// TestNodeWithoutMembershipSleeps lets a node wait long for the others: it asks
// to be woken later than now each time.
func TestNodeWithoutMembershipSleeps(t *testing.T) {
	c := New(Config{ID: idA, Peers: []string{"a", "b"}, HeartbeatInterval: heartbeat, ElectionTimeout: election}, &Stored{}, origin)
	now := origin
	for range 40 {
		c.Tick(now)
		assert.Assert(t, c.Deadline() > now, "at %v", now.Sub(origin))
		now = c.Deadline()
	}
	assert.Assert(t, now.Sub(origin) > 4*election)
}
