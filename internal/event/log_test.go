package event

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLines checks the content of a line for each level and type of value.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	start := time.Now().Truncate(time.Microsecond)
	log := NewLog(&out, "router-1")
	log.Record(RequestRouted, F("upstream", "u1"), F("try", 2), F("among", []string{"u1", "u2"}), F("took", time.Second))
	log.Record(PeerLost, F("cause", errors.New("gone")))
	log.Record(ViewExpired)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(t, log.Run(ctx))
	log.Record(ProcessStopped, F("error", ""))
	log.Flush()
	var got []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		at, err := time.Parse(time.RFC3339, fields["time"].(string))
		assert.NilError(t, err)
		assert.Assert(t, at.After(start) || at.Equal(start), "lines carry fractions of a second")
		delete(fields, "time")
		got = append(got, fields)
	}
	line := func(level string, number float64, name string, more ...any) map[string]any {
		fields := map[string]any{"level": level, "process": "router-1", "event": number, "message": name}
		for i := 0; i < len(more); i += 2 {
			fields[more[i].(string)] = more[i+1]
		}
		return fields
	}
	assert.DeepEqual(t, got, []map[string]any{
		line("info", 510, "request-routed", "upstream", "u1", "try", 2.0, "among", []any{"u1", "u2"}, "took", "1s"),
		line("warn", 711, "peer-lost", "cause", "gone"),
		line("error", 501, "view-expired"),
		line("info", 102, "process-stopped", "error", ""),
	})
}

// TestSlowWriterDoesNotBlockRecord records more entries than the ring
// holds while nothing writes them: Record must drop the oldest instead of waiting.
func TestSlowWriterDoesNotBlockRecord(t *testing.T) {
	log := NewLog(&bytes.Buffer{}, "p")
	for range logRingCapacity + 10 {
		log.Record(RequestRefused)
	}
	assert.Equal(t, log.Dropped(), int64(10))
	assert.Equal(t, log.Count(RequestRefused), int64(logRingCapacity+10))
	assert.Equal(t, log.Count(PeerLost), int64(0))
}
