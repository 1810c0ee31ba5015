package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// TestRedirectKeepsTheResponseTimeout has streams to a slow leader time out, with quick
// redirects by other processes in between. The time that the router waits for the leader
// must go on growing; before, each redirect made it short again.
func TestRedirectKeepsTheResponseTimeout(t *testing.T) {
	now := clock.Instant(time.Hour)
	c := New(self, renewalTime, "n")
	for _, limit := range []time.Duration{renewalTime, 2 * renewalTime, 4 * renewalTime, 8 * renewalTime} {
		c.Connected(now)
		assert.Assert(t, !c.TimedOut(now.Add(limit-1)) && c.TimedOut(now.Add(limit)), "%v", limit)
		timeout := 2 * limit
		now = now.Add(limit)
		c.Connected(now) // the stream to the leader is given up
		c.Redirected(now.Add(time.Millisecond))
		assert.Equal(t, c.responseTimeout, min(timeout, maxTimeoutRenewals*renewalTime))
	}
}
