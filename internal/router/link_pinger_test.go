package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// simulatePings simulates a link whose peer stops answering at silence. It returns
// the number of pings sent and when the link timed out, or zero if it did not.
func simulatePings(length, silence time.Duration, calls bool) (sent int, timedOutAfter time.Duration) {
	var p linkPinger
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

// TestPingTrafficOfLargestFleet bounds the traffic of pings on idle links to 2,400
// routers. A ping and its answer take about 100 bytes on the wire, so that pings at
// any useful interval exceed the budget of control traffic, 2 KB/s. The bound is
// therefore a hundredth of the request traffic: 3,667 requests per second of 4 KB.
func TestPingTrafficOfLargestFleet(t *testing.T) {
	const length, links, pingBytes, limit = time.Minute, 2400, 100, 3667 * 4096 / 100
	sent, _ := simulatePings(length, length, false)
	bytes := sent * links * pingBytes / int(length/time.Second)
	assert.Assert(t, bytes <= limit, "pings take %d bytes/s, at most %d allowed", bytes, limit)
}

// TestSilenceIsDetected checks how soon a link whose peer stops answering times
// out, and that a responsive link does not.
func TestSilenceIsDetected(t *testing.T) {
	for calls, limit := range map[bool]time.Duration{true: 2 * peerTimeout, false: 2*idlePingInterval + peerTimeout} {
		const silence = 10 * time.Second
		_, timedOutAfter := simulatePings(time.Minute, silence, calls)
		assert.Assert(t, timedOutAfter > silence && timedOutAfter <= silence+limit, "calls %v: timed out after %v", calls, timedOutAfter-silence)
	}
	_, timedOutAfter := simulatePings(time.Minute, time.Minute, true)
	assert.Equal(t, timedOutAfter, time.Duration(0))
}
