package caller

import (
	"cmp"
	"sync/atomic"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/memory"
)

const (
	// maxGivenUp bounds how many connections one request may take the memory of, and so the
	// time that it takes to decide.
	maxGivenUp = 32
	// spareConnections share of slots is for connections that are accepted while an idle one is
	// being closed for them.
	spareConnections = 16
	// idleShare of idleParts of the budget of connections may be in use by idle ones.
	idleShare, idleParts = 4, 5
	// minIdle is for how long a connection must have been idle to be closed for memory: the first
	// bytes of a request may have arrived on it and not been read yet.
	minIdle = time.Second
	// noneSlowTime is how long it is remembered that nobody is slow with a body, so that a crowd
	// does not look through all connections at each read.
	noneSlowTime = 10 * time.Millisecond
	// bodyPause is the longest pause within a body, unless the configuration sets one.
	bodyPause = 15 * time.Second
)

// Memory is what the connections of a front end share: their budgets and who holds how much.
// It is safe for concurrent use.
type Memory struct {
	limits  MemoryLimits
	clock   clock.Clock
	events  event.Recorder
	slots   []atomic.Pointer[Connection]
	next    atomic.Uint32
	open    atomic.Int64
	maxBody atomic.Int64
	pause   atomic.Int64
	// noneSlowUntil is until when no connection is looked for that is slow with a body.
	noneSlowUntil atomic.Int64
	refused       [len(refusalCauses)]atomic.Int64
}

// NewMemory returns the memory of a front end without connections. There are fewer connections than
// the limits allow if their budget would not leave enough for requests.
func NewMemory(c clock.Clock, limits MemoryLimits, events event.Recorder) *Memory {
	limits.MaxConnections = min(limits.MaxConnections, limits.Connections.Left()/idleCost/idleParts*idleShare)
	m := &Memory{limits: limits, clock: c, events: events}
	m.slots = make([]atomic.Pointer[Connection], limits.MaxConnections+max(1, limits.MaxConnections/spareConnections))
	m.setLimits(fleet.CallerLimits{})
	return m
}

// setLimits replaces the limits of the configuration in force.
func (m *Memory) setLimits(limits fleet.CallerLimits) {
	m.maxBody.Store(int64(cmp.Or(limits.MaxBody, m.limits.MaxBody)))
	m.pause.Store(int64(cmp.Or(limits.IdleTimeout, bodyPause)))
}

// Used returns the bytes in use of the budgets of connections, bodies and answers.
func (m *Memory) Used() (connections, bodies, answers int) {
	return m.limits.Connections.Used(), m.limits.Bodies.Used(), m.limits.Answers.Used()
}

// Open returns the number of open connections.
func (m *Memory) Open() int { return int(m.open.Load()) }

// Refused returns how many requests or connections were refused for a cause.
func (m *Memory) Refused(cause RefusalCause) int64 { return m.refused[cause].Load() }

func (m *Memory) countRefusal(cause RefusalCause) {
	m.refused[cause].Add(1)
	m.events.Record(event.CallerRefused, event.F("cause", cause.String()))
}

// add registers a connection. It returns false if there are too many. Above MaxConnections,
// the one that has been idle for longest is closed.
func (m *Memory) add(c *Connection) bool {
	if int(m.open.Load()) >= m.limits.MaxConnections {
		m.closeIdle(0)
	}
	for range m.slots {
		slot := int(m.next.Add(1)) % len(m.slots)
		if m.slots[slot].CompareAndSwap(nil, c) {
			c.slot = slot
			c.connection.Force(idleCost)
			m.open.Add(1)
			return true
		}
	}
	m.countRefusal(RefusedConnection)
	return false
}

func (m *Memory) remove(c *Connection) {
	if m.slots[c.slot].CompareAndSwap(c, nil) {
		m.open.Add(-1)
	}
}

// closeIdle closes the connection that has been idle for longest, and reports whether there is
// one that has been for the given time.
func (m *Memory) closeIdle(least time.Duration) bool {
	var longest *Connection
	var judged phaseWord
	until := int64(m.clock.Now()) - int64(least)
	for i := range m.slots {
		c := m.slots[i].Load()
		if c == nil {
			continue
		}
		word := c.phaseWord()
		if word.phase() == phaseIdle && c.movedAt.Load() <= until && (longest == nil || c.movedAt.Load() < longest.movedAt.Load()) {
			longest, judged = c, word
		}
	}
	if longest != nil && longest.giveUp(judged) {
		m.countRefusal(RefusedConnection)
	}
	return longest != nil
}

// freeDescriptors has a share of the connections closed, because the process has no descriptor left:
// those that have been idle for longest, and then slow ones.
func (m *Memory) freeDescriptors() {
	m.countRefusal(RefusedDescriptor)
	for range max(1, m.Open()/spareConnections) {
		if !m.closeIdle(0) && !m.giveUpSlowest(m.limits.Connections, 0) {
			return
		}
	}
}

// makeRoom reports whether a budget has the given number of bytes left, after slow connections
// have given up what they hold of it, and then idle ones. None does if all together do not hold
// enough.
func (m *Memory) makeRoom(budget *memory.Budget, bytes int) bool {
	for range maxGivenUp {
		if budget.Left() >= bytes {
			return true
		}
		if !m.giveUpSlowest(budget, bytes) {
			return false
		}
	}
	return budget.Left() >= bytes
}

// grow extends a reservation, after slow connections have given up theirs if need be.
func (m *Memory) grow(r *memory.Reservation, budget *memory.Budget, bytes int) bool {
	return r.Grow(bytes) || m.makeRoom(budget, bytes-r.Taken()) && r.Grow(bytes)
}

// makeBuffer makes a buffer for a large body, after buffers that are not used any more have been
// collected, and then slow connections have given up theirs. It returns nil if there is no
// memory. The buffer replaces one of the given size, if any.
func (m *Memory) makeBuffer(size, replaced int) []byte {
	for range maxGivenUp {
		if buffer := m.limits.Buffers.MakeWaiting(size, replaced); buffer != nil {
			return buffer
		}
		if !m.giveUpSlowest(m.limits.Bodies, size) {
			return nil
		}
	}
	return nil
}

// closeParked closes the connections that are parked.
func (m *Memory) closeParked() {
	for i := range m.slots {
		if c := m.slots[i].Load(); c != nil && c.parked.Load() {
			_ = c.Conn.SetReadDeadline(time.Now())
		}
	}
}

// giveUpSlowest makes the slowest connection give up its memory, else one that is idle if that
// counts for the budget. It returns false if that can't free the given number of bytes.
func (m *Memory) giveUpSlowest(budget *memory.Budget, bytes int) bool {
	now, slowest := m.clock.Now(), memory.Slowest[candidate]{}
	if budget == m.limits.Bodies && int64(now) < m.noneSlowUntil.Load() {
		return false
	}
	idle := 0
	for i := range m.slots {
		c := m.slots[i].Load()
		if c == nil {
			continue
		}
		switch word := c.phaseWord(); word.phase() {
		case phaseReading, phaseWriting:
			slowest.Offer(candidate{c, word}, c.usage(budget, now))
		case phaseIdle:
			if u := c.usage(budget, now); budget == m.limits.Connections && u.Pause >= minIdle {
				idle += u.Bytes
			}
		}
	}
	chosen, found := slowest.User()
	if !found && budget == m.limits.Bodies {
		m.noneSlowUntil.Store(int64(now) + int64(noneSlowTime))
	}
	if budget.Left()+slowest.Total()+idle < bytes {
		return false
	}
	if !found {
		return idle > 0 && m.closeIdle(minIdle)
	}
	if chosen.connection.giveUp(chosen.word) {
		m.countRefusal(RefusedSlow)
	}
	return true
}
