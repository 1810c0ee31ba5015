package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// simulateProbes simulates a link whose peer stops answering at silence. It returns
// the number of pings sent and when the link timed out, or zero if it did not.
func simulateProbes(length, silence time.Duration, calls bool) (sent int, timedOutAfter time.Duration) {
	var p linkProbe
	start := clock.Instant(time.Hour)
	for at := time.Duration(0); at < length; at += pingInterval {
		now := start.Add(at)
		if p.timedOut(now) {
			return sent, at
		}
		if p.due(now, calls) {
			sent++
			if at < silence {
				p.received()
			}
		}
	}
	return sent, 0
}

// TestProbesOfAWholeFleetAreFew bounds the traffic of pings on idle links to 2,400
// routers. A ping and its answer take about 100 bytes on the wire, too much for
// the budget of control traffic, 2 KB/s. The bound is therefore a hundredth of the
// request traffic: 3,667 requests per second of 4 KB.
func TestProbesOfAWholeFleetAreFew(t *testing.T) {
	const length, links, probeBytes, limit = time.Minute, 2400, 100, 3667 * 4096 / 100
	sent, _ := simulateProbes(length, length, false)
	bytes := sent * links * probeBytes / int(length/time.Second)
	assert.Assert(t, bytes <= limit, "pings take %d bytes/s, at most %d allowed", bytes, limit)
}

// TestSilenceIsDetected checks how soon a link whose peer stops answering times
// out, and that a responsive link does not.
func TestSilenceIsDetected(t *testing.T) {
	for calls, limit := range map[bool]time.Duration{true: 2 * peerTimeout, false: 2*idlePingInterval + peerTimeout} {
		const silence = 10 * time.Second
		_, timedOutAfter := simulateProbes(time.Minute, silence, calls)
		assert.Assert(t, timedOutAfter > silence && timedOutAfter <= silence+limit, "calls %v: timed out after %v", calls, timedOutAfter-silence)
	}
	_, timedOutAfter := simulateProbes(time.Minute, time.Minute, true)
	assert.Equal(t, timedOutAfter, time.Duration(0))
}
