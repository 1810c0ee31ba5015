package balancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/fleet"
)

// TestLeastWait checks that a wait is known only while half of the executors of the own data
// centre have reported within a second: the others may have room.
func TestLeastWait(t *testing.T) {
	s := newSimulation(1, "e", "dc0", testRouters(8, 2)...)
	report := func(id fleet.RouterID, wait time.Duration) {
		s.table.Refused(s.table.Sent(id, s.now), s.now, call.Load{Limit: 10, Wait: time.Second, NestedWait: wait})
		s.now = s.now.Add(100 * time.Millisecond)
	}
	known := func() bool {
		_, _, ok := s.table.LeastWait(service, s.now)
		return ok
	}
	report("r0", 300*time.Millisecond)
	report("r1", 400*time.Millisecond)
	assert.Assert(t, !known(), "one of four")
	report("r2", 200*time.Millisecond)
	report("r4", 500*time.Millisecond)
	wait, age, ok := s.table.LeastWait(service, s.now)
	assert.Assert(t, ok)
	assert.Equal(t, wait, 200*time.Millisecond)
	assert.Equal(t, age, 200*time.Millisecond)
	s.now = s.now.Add(800 * time.Millisecond)
	assert.Assert(t, known(), "r2 and r4 are at most 1 s old")
	s.now = s.now.Add(time.Millisecond)
	assert.Assert(t, !known())
}
