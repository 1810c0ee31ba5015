package session

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

func TestFinder(t *testing.T) {
	f := NewFinder([]string{"a", "b", "c"})
	now := clock.Instant(0)
	assert.Equal(t, f.Next(now), "a")
	assert.Equal(t, f.Next(now), "b")
	assert.Assert(t, f.Redirected(now, "a"))
	assert.Equal(t, f.Next(now), "a", "the leader that was named")
	assert.Assert(t, !f.Redirected(now, "elsewhere"), "only addresses of the settings")
	assert.Equal(t, f.Next(now), "b")
	f.GaveUp(now)
	assert.Assert(t, !f.Redirected(now, "b"), "not back to one that just fell silent")
	assert.Equal(t, f.Next(now), "c")
	assert.Equal(t, f.Next(now), "a")
	assert.Equal(t, f.Next(now), "c", "passed over in turn as well")
	now = now.Add(avoidDuration)
	assert.Assert(t, f.Redirected(now, "b"), "the connection may have been at fault")
	assert.Equal(t, f.Next(now), "b")
	alone := NewFinder([]string{"a"})
	alone.Next(now)
	alone.GaveUp(now)
	assert.Equal(t, alone.Next(now), "a", "the only one is never avoided")
}
