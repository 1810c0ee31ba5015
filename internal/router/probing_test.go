package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
)

// probes plays a link for a time and returns how often it was probed and when it
// was given up, zero if it was not. Answers stop at silence.
func probes(length, silence time.Duration, calls bool) (sent int, given time.Duration) {
	var p probing
	start := clock.Instant(time.Hour)
	for at := time.Duration(0); at < length; at += pingInterval {
		now := start.Add(at)
		if p.silent(now) {
			return sent, at
		}
		if p.due(now, calls) {
			sent++
			if at < silence {
				p.heard()
			}
		}
	}
	return sent, 0
}

// TestProbesOfAWholeFleetAreFew holds the probes of links to 2,400 routers, most
// of them without a call, to what control may spend: each probe and its answer
// are some 100 bytes on the wire, which no budget of 2 KB/s has room for, so the
// bound is that of requests: a hundredth of 3,667 requests a second of 4 KB.
func TestProbesOfAWholeFleetAreFew(t *testing.T) {
	const length, links, probeBytes, most = time.Minute, 2400, 100, 3667 * 4096 / 100
	sent, _ := probes(length, length, false)
	bytes := sent * links * probeBytes / int(length/time.Second)
	assert.Assert(t, bytes <= most, "%d bytes a second, at most %d", bytes, most)
}

func TestSilenceIsSeen(t *testing.T) {
	for calls, most := range map[bool]time.Duration{true: 2 * silentTimeout, false: 2*idlePing + silentTimeout} {
		const silence = 10 * time.Second
		_, given := probes(time.Minute, silence, calls)
		assert.Assert(t, given > silence && given <= silence+most, "calls %v: given up after %v", calls, given-silence)
	}
	_, given := probes(time.Minute, time.Minute, true)
	assert.Equal(t, given, time.Duration(0))
}
