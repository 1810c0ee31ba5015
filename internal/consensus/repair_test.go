package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const repairLimit = 20 * election // longest repair without further faults

// bootstrapped returns a world in which all machines are voters.
func bootstrapped(t *testing.T, seed uint64, size int) *world {
	w := newWorld(seed, size)
	w.startAll()
	assert.Assert(t, w.runUntil(repairLimit, w.recovered), w.describe())
	w.propose()
	return w
}

func (w *world) follower() *machine {
	leader := w.leader()
	for _, m := range w.machines {
		if m != leader {
			return m
		}
	}
	return nil
}

func (m *machine) replaceDisk() {
	m.loseDisk()
	m.start()
}

// TestRepair loses disks one after the other, each as soon as the log must
// survive it, and expects the members to be replaced without an operator.
func TestRepair(t *testing.T) {
	for name, loseDisks := range map[string]func(w *world){
		"follower's disk": func(w *world) { w.follower().replaceDisk() },
		"leader's disk":   func(w *world) { w.leader().replaceDisk() },
		"same disk twice": func(w *world) {
			m := w.follower()
			m.replaceDisk()
			w.advance(w.jitter(2 * time.Second))
			m.replaceDisk()
		},
		"second machine right after the repair": func(w *world) {
			m := w.follower()
			m.replaceDisk()
			w.runUntil(repairLimit, func() bool { return w.membership.IsVoter(m.id()) })
			for _, other := range w.machines {
				if other != m && other != w.leader() {
					other.replaceDisk()
				}
			}
		},
		"leader right after the repair of a follower": func(w *world) {
			m := w.follower()
			m.replaceDisk()
			w.runUntil(repairLimit, func() bool { return w.membership.IsVoter(m.id()) })
			w.leader().replaceDisk()
		},
		"all stopped during the repair": func(w *world) {
			w.follower().replaceDisk()
			w.advance(w.jitter(time.Second))
			for _, m := range w.machines {
				m.kill()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				w := bootstrapped(t, seed, 3)
				before := len(w.committedStates)
				loseDisks(w)
				w.checkRecovery()
				assert.Equal(t, w.violation, "", "seed %d", seed)
				assert.Assert(t, len(w.committedStates) > before)
			}
		})
	}
}

// TestTwoOfFiveDisksLostAtOnce loses the disks of the largest minority.
func TestTwoOfFiveDisksLostAtOnce(t *testing.T) {
	for seed := range uint64(30) {
		w := bootstrapped(t, seed, 5)
		w.leader().replaceDisk()
		w.machines[w.random.IntN(5)].replaceDisk()
		w.checkRecovery()
		assert.Equal(t, w.violation, "", "seed %d", seed)
	}
}

// TestNoSecondLog loses a majority of the disks: the two empty nodes must not
// form a new membership, neither while the third node, which holds the log, is
// down nor after its return.
func TestNoSecondLog(t *testing.T) {
	for seed := range uint64(30) {
		w := bootstrapped(t, seed, 3)
		first, second := w.machines[0], w.machines[1]
		first.loseDisk()
		second.loseDisk()
		w.machines[2].kill()
		first.start()
		second.start()
		w.advance(20 * election)
		assert.Equal(t, len(first.latestMembership().Voters)+len(second.latestMembership().Voters), 0)
		w.machines[2].start()
		w.advance(20 * election)
		assert.Equal(t, len(first.latestMembership().Voters)+len(second.latestMembership().Voters), 0)
		assert.Assert(t, w.leader() == nil)
	}
}

// TestBootstrapWaitsForAll checks that the first membership is not formed before
// the last peer has started.
func TestBootstrapWaitsForAll(t *testing.T) {
	w := newWorld(1, 3)
	w.machines[0].start()
	w.machines[1].start()
	w.advance(20 * election)
	assert.Equal(t, len(w.machines[0].latestMembership().Voters), 0)
	w.machines[2].start()
	assert.Assert(t, w.runUntil(repairLimit, w.recovered), w.describe())
}

// TestLateJoinFormsNoLog delivers Joins addressed to a lost disk to its
// replacement: they must not count towards a first membership.
func TestLateJoinFormsNoLog(t *testing.T) {
	w := newWorld(1, 3)
	first := w.machines[0]
	lost := first.id()
	first.loseDisk()
	first.start()
	for _, m := range w.machines[1:] {
		first.receive(Message{Kind: Join, From: m.id(), To: lost, Empty: true})
	}
	w.advance(4 * election)
	assert.Equal(t, len(first.latestMembership().Voters), 0)
}

// TestSlowSyncKeepsLeadership makes every sync far slower than the election
// timeout. Heartbeats do not wait for syncs, so the leader must stay.
func TestSlowSyncKeepsLeadership(t *testing.T) {
	w := bootstrapped(t, 1, 3)
	leader, term := w.leader(), w.leader().core.Term()
	w.faults.sync = 5 * time.Second
	for range 30 {
		w.propose()
		w.advance(election)
		assert.Assert(t, w.leader() == leader && leader.core.Term() == term, w.describe())
	}
	w.heal()
	w.advance(10 * time.Second) // until the syncs in progress have ended
	w.checkRecovery()
	assert.Equal(t, w.violation, "")
}

// TestTransferMovesLeadership checks that a transfer takes much less than an
// election timeout and has no effect at a follower.
func TestTransferMovesLeadership(t *testing.T) {
	w := bootstrapped(t, 1, 3)
	w.advance(election)
	old := w.leader()
	w.follower().step(w.follower().core.TransferLeadership)
	assert.Assert(t, w.leader() == old)
	old.step(old.core.TransferLeadership)
	assert.Assert(t, w.runUntil(election/2, func() bool { return w.leader() != nil && w.leader() != old }), w.describe())
	assert.Equal(t, w.violation, "")
}
