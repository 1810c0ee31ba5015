package caller

import (
	"bytes"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/event"
	"endivespring/internal/memory"
)

// newHookedConnection returns a connection at a time of 100 s that has been idle since 0 s.
func newHookedConnection(t *testing.T) (*Connection, *hookedClock) {
	t.Helper()
	hooked := &hookedClock{}
	bodies := memory.NewBudget(1 << 20)
	m := NewMemory(hooked, MemoryLimits{
		MaxConnections: 4, MaxBody: 1 << 20, Connections: memory.NewBudget(1 << 20), Bodies: bodies, Answers: memory.NewBudget(1 << 20),
		Buffers: memory.NewBuffers(bodies),
	}, event.NewLog(io.Discard, "test"))
	c := newConnection(&memoryConnection{in: bytes.NewReader(nil)}, m)
	assert.Assert(t, m.add(c))
	hooked.now = 100 * time.Second
	return c, hooked
}

// Guards against a connection that is given up for its pause before a request, when others look
// at it just as the request begins.
func TestPhaseBeginsWithItsTimes(t *testing.T) {
	c, hooked := newHookedConnection(t)
	assert.Assert(t, c.hold(idleCost, 2*firstBytes))
	hooked.hook = func() { c.memory.giveUpSlowest(c.memory.limits.Bodies, 1) }
	assert.Assert(t, c.enter(phaseReading))
	assert.Assert(t, c.inPhase(phaseReading), "the connection was given up")
}

// Guards against a connection that is given up in a later request than the one that was judged.
func TestOnlyTheJudgedPhaseIsGivenUp(t *testing.T) {
	c, _ := newHookedConnection(t)
	for _, p := range []phase{phaseIdle, phaseReading, phaseWriting} {
		assert.Assert(t, c.enter(p))
		judged := c.phaseWord()
		assert.Assert(t, c.enter(phaseRunning) && c.enter(p))
		assert.Assert(t, !c.giveUp(judged))
	}
	assert.Assert(t, c.giveUp(c.phaseWord()) && !c.enter(phaseIdle))
}

// Guards against an answer that is written on after its memory went to others, since the front
// end has set a new deadline; and against a refusal that is not written.
func TestGivenUpAnswersAreNotWritten(t *testing.T) {
	for p, written := range map[phase]bool{phaseReading: true, phaseWriting: false} {
		c, _ := newHookedConnection(t)
		assert.Assert(t, c.enter(p) && c.giveUp(c.phaseWord()))
		assert.NilError(t, c.SetWriteDeadline(time.Now().Add(time.Minute)))
		_, err := c.Write([]byte("answer"))
		assert.Equal(t, err == nil, written)
	}
}

// Guards against an answer that ran and is ready, but is replaced by an error as soon as the
// budget is used up; and against a budget that many answers overdraw.
func TestOneReadyAnswerMayOverdraw(t *testing.T) {
	first, hooked := newHookedConnection(t)
	connect := func() *Connection {
		c := newConnection(&memoryConnection{in: bytes.NewReader(nil)}, first.memory)
		assert.Assert(t, first.memory.add(c))
		return c
	}
	const large = 900 << 10
	second, third := connect(), connect()
	hooked.now += time.Millisecond
	assert.Assert(t, StartAnswer(first, large) && StartAnswer(second, large))
	assert.Assert(t, !StartAnswer(third, large) && StartAnswer(third, 1<<10))
	assert.NilError(t, second.Close())
	assert.Assert(t, StartAnswer(third, large))
	for _, c := range []*Connection{first, third} {
		assert.NilError(t, c.Close())
	}
	_, _, answers := first.memory.Used()
	assert.Equal(t, answers, 0)
}

// Guards against a small request that is refused since its slice served a large body before.
func TestReusedSlicesCountWhatIsRead(t *testing.T) {
	c, _ := newHookedConnection(t)
	c.received = 100
	reused := make([]byte, 60<<10, 1<<20)
	assert.Equal(t, c.bodyBytes(reused), 64<<10)
	assert.Equal(t, c.bodyBytes(make([]byte, 64<<10)), 64<<10+100)
}

// Guards against slow requests that are given up in vain, for one that does not fit even then.
func TestNobodyIsGivenUpInVain(t *testing.T) {
	c, hooked := newHookedConnection(t)
	assert.Assert(t, c.enter(phaseReading) && c.hold(readingCost, 512<<10))
	hooked.now += 5 * time.Second
	other := c.memory.limits.Bodies.Reserve()
	assert.Assert(t, other.Grow(512<<10))
	assert.Assert(t, c.memory.makeBuffer(520<<10, 0) == nil)
	assert.Assert(t, c.inPhase(phaseReading), "given up in vain")
	assert.Assert(t, c.memory.makeBuffer(400<<10, 0) != nil)
	assert.Assert(t, c.inPhase(phaseGivenUp))
}

// Guards against a crowd in which each read looks through all connections.
func TestThatNobodyIsSlowIsRemembered(t *testing.T) {
	c, hooked := newHookedConnection(t)
	bodies := c.memory.limits.Bodies
	assert.Assert(t, c.enter(phaseReading) && c.hold(readingCost, 512<<10))
	hooked.now += 500*time.Millisecond - time.Millisecond
	assert.Assert(t, !c.memory.giveUpSlowest(bodies, 1))
	hooked.now += noneSlowTime - time.Millisecond
	assert.Assert(t, !c.memory.giveUpSlowest(bodies, 1))
	hooked.now += time.Millisecond
	assert.Assert(t, c.memory.giveUpSlowest(bodies, 1))
}
