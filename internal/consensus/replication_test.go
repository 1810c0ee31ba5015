package consensus

import (
	"testing"
	"time"
)

const (
	seedsOfThree = 1200
	seedsOfFive  = 400
	rounds       = 8 // faults started or ended per seed
)

// TestReplicationUnderFaults runs groups of three and five under random faults.
// Every invariant is checked after every step, and recovery at the end.
func TestReplicationUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		size, seeds int
	}{{"three", 3, seedsOfThree}, {"five", 5, seedsOfFive}} {
		for part := range 4 {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < c.seeds; seed += 4 {
					w := newWorld(uint64(seed), c.size)
					w.runFaults()
					if w.violation != "" {
						t.Fatalf("%d voters, seed %d: %s", c.size, seed, w.violation)
					}
				}
			})
		}
	}
}

// runFaults starts all or some of the machines, starts and ends random faults
// while commands are proposed, and checks the recovery.
func (w *world) runFaults() {
	for _, m := range w.machines {
		if w.random.IntN(4) > 0 {
			m.start()
		}
	}
	if w.random.IntN(3) > 0 {
		w.startAll()
		w.runUntil(20*election, w.recovered)
	}
	for range rounds {
		w.injectFault()
		for range 1 + w.random.IntN(6) {
			w.propose()
			w.advance(w.jitter(250 * time.Millisecond))
		}
	}
	w.checkRecovery()
}

func (w *world) startAll() {
	for _, m := range w.machines {
		m.start()
	}
}

// injectFault starts or ends one random fault, often at the leader. It
// loses only as many disks as the log must survive.
func (w *world) injectFault() {
	m := w.machines[w.random.IntN(len(w.machines))]
	if leader := w.leader(); leader != nil && w.random.IntN(3) == 0 {
		m = leader
	}
	switch w.random.IntN(12) {
	case 0:
		w.faults.drop = w.random.Float64() * 0.4
	case 1:
		w.faults.duplicate = w.random.Float64() * 0.4
	case 2:
		w.faults.delay = w.jitter(300 * time.Millisecond)
	case 3:
		w.faults.sync = w.jitter(300 * time.Millisecond)
	case 4:
		w.partition(m)
	case 5:
		w.heal()
	case 6:
		m.freeze()
	case 7:
		m.resume()
	case 8:
		m.kill()
	case 9:
		if w.toleratesLoss(m) {
			m.loseDisk()
			m.start()
		}
	case 10:
		w.startAll()
	case 11:
		if m.core != nil && !m.frozen {
			m.step(m.core.TransferLeadership)
		}
	}
}

// partition blocks messages between a machine and some others, in one direction
// or both.
func (w *world) partition(m *machine) {
	for _, other := range w.machines {
		if other == m || w.random.IntN(4) == 0 {
			continue
		}
		w.faults.blocked[[2]int{m.number, other.number}] = w.random.IntN(4) > 0
		w.faults.blocked[[2]int{other.number, m.number}] = w.random.IntN(4) > 0
	}
}
