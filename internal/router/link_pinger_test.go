package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// simulatePings simulates a link whose peer stops answering at silence. It returns
// the number of pings sent and when the link timed out, or zero if it did not.
func simulatePings(length, silence time.Duration, calls bool, links int64) (sent int, timedOutAfter time.Duration) {
	var p linkPinger
	start := clock.Instant(time.Hour)
	for at := time.Duration(0); at < length; at += pingInterval {
		now := start.Add(at)
		if p.timedOut(now) {
			return sent, at
		}
		if p.due(now, calls, links) {
			sent++
			if at < silence {
				p.received(now)
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
	sent, _ := simulatePings(length, length, false, links)
	bytes := sent * links * pingBytes / int(length/time.Second)
	assert.Assert(t, bytes <= limit, "pings take %d bytes/s, at most %d allowed", bytes, limit)
}

// TestSilenceIsDetected checks how soon a link whose peer stops answering times
// out, and that a responsive link does not.
func TestSilenceIsDetected(t *testing.T) {
	for calls, limit := range map[bool]time.Duration{true: 2 * peerTimeout, false: 2*idlePingInterval + peerTimeout} {
		const silence = 10 * time.Second
		_, timedOutAfter := simulatePings(time.Minute, silence, calls, 30)
		assert.Assert(t, timedOutAfter > silence && timedOutAfter <= silence+limit, "calls %v: timed out after %v", calls, timedOutAfter-silence)
	}
	_, timedOutAfter := simulatePings(time.Minute, time.Minute, true, 30)
	assert.Equal(t, timedOutAfter, time.Duration(0))
}

// TestPingsDoNotGrowWithTheFleet checks that the pings on all idle links of a router are
// bounded, and that a link with calls finds silence as soon as in a small fleet.
func TestPingsDoNotGrowWithTheFleet(t *testing.T) {
	const length, silence = 20 * time.Minute, 10 * time.Second
	for _, links := range []int64{100, 300, 2400} {
		sent, _ := simulatePings(length, length, false, links)
		rate := float64(sent) * float64(links) / length.Seconds()
		assert.Assert(t, rate <= 1.1*float64(time.Second/idlePingShare), "%d links: %.0f pings/s", links, rate)
		_, timedOutAfter := simulatePings(length, silence, true, links)
		assert.Assert(t, timedOutAfter > silence && timedOutAfter <= silence+2*peerTimeout)
	}
}

// TestLinkWakesWhenAPingIsDue checks that the next look at an idle link is not earlier
// than its next ping, so that idle links cost no wake-ups.
func TestLinkWakesWhenAPingIsDue(t *testing.T) {
	now := clock.Instant(time.Hour)
	p := linkPinger{lastPing: now}
	assert.Equal(t, p.nextAt(false, 300), now.Add(300*idlePingShare))
	assert.Equal(t, p.nextAt(true, 300), now.Add(pingInterval))
	p.unansweredSince = now
	assert.Equal(t, p.nextAt(false, 300), now.Add(peerTimeout+pingInterval))
	p.received(now.Add(time.Millisecond))
	assert.Equal(t, p.unansweredSince, clock.Instant(0))
}
