package event

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLineRateIsBounded records entries far above the rate limit for ten
// seconds: failures get their full rate, and omitted lines are counted.
func TestLineRateIsBounded(t *testing.T) {
	limiter := newLineLimiter()
	start := time.Unix(1000, 0)
	written, omitted := map[string]int{}, 0
	for i := range 10 * 1000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		for _, outcome := range []string{"ran", "not-run"} {
			if limiter.admits(&Entry{Definition: RequestFinished, Time: at, Fields: []Field{F("verdict", outcome)}}) {
				written[outcome]++
			}
		}
		if !limiter.due(at) {
			continue
		}
		for _, entry := range limiter.omitted(at) {
			omitted += int(entry.Fields[2].Value.(int64))
		}
	}
	for _, entry := range limiter.omitted(start.Add(time.Hour)) {
		omitted += int(entry.Fields[2].Value.(int64))
	}
	assert.Assert(t, written["ran"] <= (10+2)*successesPerSecond, "%v", written)
	assert.Assert(t, written["not-run"] <= (10+2)*linesPerSecond && written["not-run"] >= 10*linesPerSecond, "%v", written)
	assert.Equal(t, written["ran"]+written["not-run"]+omitted, 20*1000)
}

// TestOmittedLinesAreReported checks that a log which exceeded its rate ends
// with the count of omitted lines.
func TestOmittedLinesAreReported(t *testing.T) {
	var buffer bytes.Buffer
	log := NewLog(&buffer, "p")
	for range 1000 {
		log.Record(RequestRefused, F("verdict", "not-run"))
	}
	log.Flush()
	lines := strings.Split(strings.TrimSpace(buffer.String()), "\n")
	assert.Assert(t, len(lines) <= 2*linesPerSecond+2, "%d lines", len(lines))
	assert.Assert(t, strings.Contains(buffer.String(), LinesOmitted.Name))
	assert.Equal(t, log.Count(RequestRefused), int64(1000))
}
