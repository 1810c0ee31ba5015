package consensus

import (
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	settlingTime = 3 * time.Second // from the end of the last fault until the group counts as calm
	calmTime     = 4 * time.Second // during which each proposal must be committed in time
	// calmCommit bounds the time from a proposal to its commit in a calm group: a few round
	// trips and syncs.
	calmCommit   = 200 * time.Millisecond
	calmProposal = 100 * time.Millisecond // time between two proposals in a calm group
	calmSeeds    = 24
)

// newSettledGroup returns an open group of five voters and a spare with the timing of the
// default settings, and messages that take up to 5 ms.
func newSettledGroup(t *testing.T, seed uint64) *world {
	w := newOpenGroup(seed, 1)
	configure := w.configure
	w.configure = func(m *machine, config *Config) {
		configure(m, config)
		config.HeartbeatInterval, config.ElectionTimeout = 60*time.Millisecond, 300*time.Millisecond
	}
	assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters), w.describe())
	for _, m := range w.machines[:openVoters] {
		m.kill()
	}
	for _, m := range w.machines[:openVoters] {
		m.start()
	}
	assert.Assert(t, w.runUntil(repairTarget, w.hasAllVoters), w.describe())
	w.faults.delay = 4 * time.Millisecond
	return w
}

// busyFor advances while commands are proposed, as routers' reports are.
func (w *world) busyFor(d time.Duration) {
	for end := w.now + int64(d); w.now < end; {
		w.propose()
		w.advance(min(time.Duration(end-w.now), w.jitter(60*time.Millisecond)+time.Millisecond))
	}
}

func (w *world) anyOf(machines []*machine) *machine { return machines[w.random.IntN(len(machines))] }

// isolate cuts the machines off from all others.
func (w *world) isolate(cut ...*machine) {
	for _, m := range w.machines {
		for _, other := range w.machines {
			if slices.Contains(cut, m) != slices.Contains(cut, other) {
				w.faults.blocked[[2]int{m.number, other.number}] = true
			}
		}
	}
}

func (w *world) settle() {
	w.heal()
	w.faults.delay = 4 * time.Millisecond
	for _, m := range w.machines[:openVoters] {
		m.resume()
		m.start()
	}
}

func (w *world) loseDiskIfTolerated(m *machine) {
	if w.toleratesLoss(m) {
		m.loseDisk()
	}
}

// disturb has one fault of a kind at the leader or another machine, and ends it.
func (w *world) disturb(kind int) {
	target, second := w.leader(), w.anyOf(w.machines[:openVoters])
	if target == nil || w.random.IntN(3) == 0 {
		target = w.anyOf(w.machines[:openVoters])
	}
	switch kind {
	case 0: // killed
		target.kill()
	case 1: // two killed, one after the other
		target.kill()
		w.busyFor(w.jitter(time.Second))
		second.kill()
	case 2: // disk lost
		w.loseDiskIfTolerated(target)
	case 3: // frozen
		target.freeze()
	case 4: // cut off
		w.isolate(target)
	case 5: // cut in two
		w.isolate(target, second)
	case 6: // most killed at once
		for _, i := range w.random.Perm(openVoters)[:3] {
			w.machines[i].kill()
		}
	case 7: // stopped in order
		if target.core != nil && !target.frozen {
			target.step(target.core.TransferLeadership)
		}
		w.busyFor(300 * time.Millisecond)
		target.kill()
	case 8: // two disks lost
		w.loseDiskIfTolerated(target)
		w.loseDiskIfTolerated(second)
	case 9: // all lose power
		for _, m := range w.machines {
			m.kill()
		}
	case 11: // any two
		w.disturb(w.random.IntN(11))
		w.disturb(w.random.IntN(11))
		return
	case 12: // replaced by an empty machine with another name
		target.kill()
		w.busyFor(w.jitter(time.Second))
		w.machines[openVoters].start()
	case 13: // replaced while another is frozen
		second.freeze()
		w.busyFor(w.jitter(time.Second))
		target.kill()
		w.machines[openVoters].start()
	case 10: // frozen beside a killed one
		target.freeze()
		w.busyFor(w.jitter(time.Second))
		second.kill()
	}
	if w.random.IntN(2) == 0 && w.hasMajority() {
		w.busyFor(settlingTime)
		w.checkCalm()
	}
	w.busyFor(w.jitter(4 * time.Second))
	w.settle()
}

// connected returns the voters whose processes run and reach most others that run.
func (w *world) connected() []*machine {
	return slices.DeleteFunc(slices.Clone(w.machines[:openVoters]), func(m *machine) bool {
		reached := 0
		for _, other := range w.machines[:openVoters] {
			if other.core != nil && !other.frozen && !w.faults.blocked[[2]int{m.number, other.number}] {
				reached++
			}
		}
		return m.core == nil || m.frozen || !w.membership.IsVoter(m.id()) || reached < openMinCopies
	})
}

func (w *world) hasMajority() bool { return len(w.connected()) >= openMinCopies }

// checkCalm checks that there is a leader all the time that every connected member knows,
// and that it commits each proposal in time.
func (w *world) checkCalm() (slowest time.Duration) {
	for end := w.now + int64(calmTime); w.now < end && w.violation == ""; {
		leader := w.leader()
		if leader == nil {
			w.fail("no leader while calm: %s", w.describe())
			return 0
		}
		if voters := leader.core.Membership().Voters; len(voters) < openVoters-1 {
			w.fail("too few voters to accept orders: %s", w.describe())
		}
		for _, m := range w.connected() {
			if m.core.Leader() != leader.id() {
				w.fail("%s takes %s for the leader: %s", m.id(), m.core.Leader(), w.describe())
			}
		}
		index := uint64(0)
		leader.step(func() { index, _, _ = leader.core.Propose(binary.LittleEndian.AppendUint64(nil, 1<<40)) })
		began := w.now
		if !w.runUntilStep(time.Millisecond, calmCommit, func() bool { return index > 0 && leader.applied >= index }) {
			w.fail("proposal %d is not committed within %v: %s", index, calmCommit, w.describe())
		}
		slowest = max(slowest, time.Duration(w.now-began))
		w.advance(calmProposal)
	}
	return slowest
}

func (w *world) runUntilStep(step, limit time.Duration, condition func() bool) bool {
	for end := w.now + int64(limit); w.now < end && w.violation == ""; w.advance(step) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Guards against orders of operators that stay unanswered for seconds though most control
// processes have run undisturbed for a while: whatever happened before, and whatever minority is
// still down, frozen or cut off, there is a leader that the others know, and it commits what is
// proposed.
func TestCalmGroupCommitsAtOnce(t *testing.T) {
	for kind := range 14 {
		slowest := time.Duration(0)
		for seed := range uint64(calmSeeds) {
			w := newSettledGroup(t, seed)
			for range 1 + w.random.IntN(3) {
				w.disturb(kind)
				w.busyFor(w.jitter(2 * time.Second))
			}
			w.busyFor(settlingTime)
			slowest = max(slowest, w.checkCalm())
			assert.Equal(t, w.violation, "", "kind %d, seed %d", kind, seed)
		}
		t.Logf("kind %d: slowest commit %v", kind, slowest)
	}
}
