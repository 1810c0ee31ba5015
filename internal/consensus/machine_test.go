package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"endivespring/internal/clock"
)

// machine simulates a VM with a clock, a disk and, while it is started, a
// control process: the consensus core, the storage duty's queue of writes and
// the controller's state machine and lease.
type machine struct {
	world  *world
	number int
	name   string
	rate   float64
	offset int64

	disk   string
	stored Stored

	core        *Core
	incarnation int // counts processes, so that steps of an ended one are dropped
	timer       int // counts timers, so that a replaced one does nothing
	frozen      bool
	deferred    []func()
	writes      []diskWrite
	updates     []update
	applied     uint64
	state       uint64
	compactedAt uint64
	leaseExpiry clock.Instant
}

type update struct {
	output   Output
	lease    clock.Instant
	released bool
}

type diskWrite struct {
	output  Output
	term    uint64
	compact *Snapshot
	rest    []Entry
}

func (m *machine) id() NodeID { return NodeID{Name: m.name, Disk: m.disk} }

func (m *machine) clock() clock.Instant {
	return clock.Instant(m.offset + int64(float64(m.world.now)*m.rate))
}

// latestMembership returns the latest membership in the log of the process, or
// on the disk while no process runs.
func (m *machine) latestMembership() Membership {
	if m.core != nil {
		return m.core.Membership()
	}
	log := newEntryLog(&m.stored)
	membership, _ := log.membership()
	return membership
}

func (m *machine) loseDisk() {
	m.kill()
	m.world.disks++
	m.disk, m.stored = fmt.Sprintf("d%d", m.world.disks), Stored{}
}

// kill ends the process. A write that was in progress may have reached the disk.
func (m *machine) kill() {
	if m.core == nil {
		return
	}
	if len(m.writes) > 0 && m.world.random.IntN(2) == 0 {
		m.store(&m.writes[0])
	}
	m.core, m.writes, m.updates, m.deferred, m.frozen, m.leaseExpiry = nil, nil, nil, nil, false, 0
	m.incarnation++
}

func (m *machine) start() {
	if m.core != nil {
		return
	}
	m.incarnation++
	config := Config{
		ID: m.id(), HeartbeatInterval: heartbeat, ElectionTimeout: election, DriftMargin: driftMargin, MaxBatch: 5,
		Seed: m.world.random.Uint64(),
	}
	for _, other := range m.world.machines {
		config.Peers = append(config.Peers, other.name)
	}
	if m.world.configure != nil {
		m.world.configure(m, &config)
	}
	m.applied, m.state, m.compactedAt, m.leaseExpiry = 0, 0, 0, 0
	stored := Stored{HardState: m.stored.HardState, Snapshot: m.stored.Snapshot, Entries: slices.Clone(m.stored.Entries)}
	if stored.Snapshot != nil {
		m.world.checkInstall(m, stored.Snapshot)
		m.compactedAt = m.applied
	}
	m.core = New(config, &stored, m.clock())
	m.step(func() {})
}

// later runs a step of this process after d, or when it resumes if it is frozen
// then.
func (m *machine) later(d time.Duration, run func()) {
	incarnation := m.incarnation
	m.world.after(d, func() { m.runIfCurrent(incarnation, run) })
}

// runIfCurrent runs a step unless its process has ended; a frozen process runs
// it when it resumes.
func (m *machine) runIfCurrent(incarnation int, run func()) {
	switch {
	case m.incarnation != incarnation || m.core == nil:
	case m.frozen:
		m.deferred = append(m.deferred, func() { m.runIfCurrent(incarnation, run) })
	default:
		run()
	}
}

func (m *machine) freeze() { m.frozen = m.core != nil }

func (m *machine) resume() {
	deferred := m.deferred
	m.frozen, m.deferred = false, nil
	for _, run := range deferred {
		m.world.after(0, run)
	}
}

func (m *machine) receive(message Message) {
	m.runIfCurrent(m.incarnation, func() { m.step(func() { m.core.Step(&message) }) })
}

// step simulates the consensus duty for one input.
func (m *machine) step(input func()) {
	c := m.core
	if c == nil {
		return
	}
	c.Tick(m.clock())
	input()
	m.world.checkLeader(c)
	m.dispatch()
	m.armTimer()
}

func (m *machine) dispatch() {
	out := m.core.Take()
	m.world.checkEntries(m.core, out.Entries)
	m.world.deliver(m, out.Immediate)
	if out.NeedsStorage() {
		m.write(diskWrite{output: out, term: m.core.Term()})
	}
	lease := m.core.LeaseUntil()
	m.updates = append(m.updates, update{output: out, lease: lease, released: m.core.Transferring()})
	if len(m.updates) == 1 {
		m.later(m.world.jitter(maxControllerDelay), m.runController)
	}
}

// runController simulates the controller duty: it applies the pending updates
// and confirms the release of a lease only after it has stopped using it.
func (m *machine) runController() {
	updates := m.updates
	m.updates = nil
	for i := range updates {
		m.applyUpdate(&updates[i].output, updates[i].lease)
	}
	if updates[len(updates)-1].released {
		m.later(0, func() { m.step(m.core.LeaseReleased) })
	}
}

func (m *machine) applyUpdate(out *Output, lease clock.Instant) {
	m.leaseExpiry = lease
	if out.Snapshot != nil {
		m.world.checkInstall(m, out.Snapshot)
		m.compactedAt = m.applied
	}
	for i := range out.Committed {
		m.world.checkCommit(m, &out.Committed[i])
	}
	if m.applied >= m.compactedAt+compactEvery {
		m.compactedAt = m.applied
		data := binary.LittleEndian.AppendUint64(nil, m.state)
		if s, ok := m.core.Compact(m.applied, data); ok {
			m.write(diskWrite{compact: s, rest: m.core.EntriesAfterSnapshot()})
		}
	}
}

// write queues a write. Writes reach the disk one at a time, in order.
func (m *machine) write(w diskWrite) {
	m.writes = append(m.writes, w)
	if len(m.writes) == 1 {
		m.later(m.world.jitter(m.world.faults.sync), m.finishWrite)
	}
}

// finishWrite completes the oldest write, and only then sends the messages that
// waited for it.
func (m *machine) finishWrite() {
	w := m.writes[0]
	m.writes = m.writes[1:]
	m.store(&w)
	m.world.deliver(m, w.output.AfterSync)
	if len(m.writes) > 0 {
		m.later(m.world.jitter(m.world.faults.sync), m.finishWrite)
	}
	if last := w.output.LastIndex(); last > 0 {
		m.step(func() { m.core.Persisted(last, w.term, m.clock()) })
	}
}

func (m *machine) store(w *diskWrite) {
	if w.output.HardState != nil {
		m.stored.HardState = *w.output.HardState
	}
	switch {
	case w.compact != nil:
		m.stored.Snapshot, m.stored.Entries = w.compact, slices.Clone(w.rest)
	case w.output.Snapshot != nil:
		m.stored.Snapshot, m.stored.Entries = w.output.Snapshot, slices.Clone(w.output.Entries)
	case len(w.output.Entries) > 0:
		log := newEntryLog(&Stored{Snapshot: m.stored.Snapshot, Entries: slices.Clone(m.stored.Entries)})
		log.append(w.output.Entries)
		m.stored.Entries = log.entries
	}
}

func (m *machine) armTimer() {
	m.timer++
	armed := m.timer
	wait := max(0, m.core.Deadline().Sub(m.clock())) + time.Millisecond
	m.later(wait, func() {
		if m.timer == armed {
			m.step(func() {})
		}
	})
}
