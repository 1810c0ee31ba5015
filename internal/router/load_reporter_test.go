package router

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/metrics"
	"endivespring/internal/ring"
	"endivespring/internal/wire/wirepb"
)

// TestReportsLeaveRoomForAnswers guards against reports that fill the ring of a gateway
// which reads slowly, and against reports to gateways that send no more calls. The load is
// a full executor whose wait changes by 100 ms every 50 ms.
func TestReportsLeaveRoomForAnswers(t *testing.T) {
	ctx, now := context.Background(), clock.Instant(time.Hour)
	links := map[uint64]*ring.Ring[*wirepb.DoorDown]{}
	sinks := map[uint64]answerSink{}
	for link := range uint64(3) {
		links[link] = ring.New[*wirepb.DoorDown]("link-answers", 10, ring.Refuse)
		sinks[link] = &linkSink{out: links[link], closeStream: func() { t.Error("a report closed a link") }}
	}
	var off *loadReporter
	off.called(now, 0)
	off.closed(0)
	off.report(ctx, now, &call.Load{}, sinks)
	r := newLoadReporter((*metrics.LoadMeter)(nil))
	load := call.Load{InFlight: 9, Limit: 9}
	r.called(now, 0) // sends one call and no more
	for i := range 100 {
		r.called(now, 1) // reads nothing
		if links[0].Depth() > 0 {
			<-links[0].Out()
		}
		load.Wait = time.Duration(1+i%2) * 100 * time.Millisecond
		r.report(ctx, now, &load, sinks)
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, links[0].Depth(), 0)
	assert.Equal(t, links[1].Depth(), 5)
	assert.Equal(t, links[2].Depth(), 0)
	assert.Equal(t, len(r.lastCalls), 1)
}
