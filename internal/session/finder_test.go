package session

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// A finder follows redirects and otherwise tries the addresses in turn, and passes
// over an address that did not answer for avoidDuration.
func TestFinder(t *testing.T) {
	f := NewFinder([]string{"a", "b", "c"})
	now := clock.Instant(0)
	assert.Equal(t, f.Next(now), "a")
	assert.Equal(t, f.Next(now), "b")
	assert.Assert(t, f.Redirected(now, "a"))
	assert.Equal(t, f.Next(now), "a", "the leader named by the redirect")
	assert.Assert(t, !f.Redirected(now, "elsewhere"), "a fixed set takes no other address")
	assert.Equal(t, f.Next(now), "b")
	f.MarkUnresponsive(now)
	assert.Assert(t, !f.Redirected(now, "b"), "no redirect to an address that just did not answer")
	assert.Equal(t, f.Next(now), "c")
	assert.Equal(t, f.Next(now), "a")
	assert.Equal(t, f.Next(now), "c", "passed over in turn as well")
	now = now.Add(avoidDuration)
	assert.Assert(t, f.Redirected(now, "b"), "avoided for a limited time only")
	assert.Equal(t, f.Next(now), "b")
	single := NewFinder([]string{"a"})
	single.Next(now)
	single.MarkUnresponsive(now)
	assert.Equal(t, single.Next(now), "a", "the only address is never avoided")
}
