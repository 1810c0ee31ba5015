package router

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/metrics"
	"endivespring/internal/peer"
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
	off.report(ctx, now, call.Load{}, sinks)
	r := newLoadReporter((*metrics.LoadMeter)(nil))
	load := call.Load{InFlight: 9, Limit: 9}
	r.called(now, 0) // sends one call and no more
	for i := range 100 {
		r.called(now, 1) // reads nothing
		if links[0].Depth() > 0 {
			<-links[0].Out()
		}
		load.Wait = time.Duration(1+i%2) * 100 * time.Millisecond
		r.report(ctx, now, load, sinks)
		now = now.Add(50 * time.Millisecond)
	}
	assert.Equal(t, links[0].Depth(), 0)
	assert.Equal(t, links[1].Depth(), 5)
	assert.Equal(t, links[2].Depth(), 0)
	assert.Equal(t, len(r.lastCalls), 1)
}

// TestTurnWithoutReportDoesNotAllocate guards against a load that is moved to the heap in each
// turn of the executor duty, with reports switched off or none due.
func TestTurnWithoutReportDoesNotAllocate(t *testing.T) {
	ctx, now, idle := context.Background(), clock.Instant(time.Hour), newLoadReporter(nil)
	idle.called(now, 1)
	sinks := map[uint64]answerSink{1: &linkSink{out: ring.New[*wirepb.DoorDown]("link-answers", 10, ring.Refuse)}}
	idle.report(ctx, now, call.Load{Limit: 9}, sinks)
	for _, r := range []*loadReporter{nil, idle} {
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			load := call.Load{Limit: 9}
			load.Slowdown = 1
			r.report(ctx, now, load, sinks)
		}), 0.0)
	}
}

// TestReportCrossesLink sends a report between answers over a real link, to a gateway that
// uses reports and to one that does not.
func TestReportCrossesLink(t *testing.T) {
	for _, takes := range []bool{true, false} {
		l, sink := openLink(t, takes)
		want := call.Load{InFlight: 9, Queued: 3, Limit: 9, Latency: time.Millisecond, Wait: 50 * time.Millisecond, Slowdown: 1.5}
		assert.Assert(t, sink.report(t.Context(), &want))
		sink.answer(t.Context(), call.Answer{Number: 1})
		in, err := l.answers.Take(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, in.load != nil, takes)
		if takes {
			assert.DeepEqual(t, *in.load, want)
			assert.Equal(t, in.from, fleet.RouterID("r"))
		}
	}
}

// openLink opens a link to an executor and sends it a call.
func openLink(t testing.TB, takesReports bool) (*link, answerSink) {
	submissions := ring.New[*submission]("submissions", 64, ring.Refuse)
	server := peer.NewServer()
	wirepb.RegisterDoorsServer(server, &executorServer{fleet: "f", events: discardEvents{}, clock: clock.NewMonotonic(), executor: submissions})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peer.Serve(server, listener) }()
	t.Cleanup(server.Stop)
	answers := ring.New[*inboundAnswer]("answers", 64, ring.Wait)
	l := newLink("f", fleet.Router{ID: "r", Address: listener.Addr().String()}, &atomic.Int64{}, clock.NewMonotonic(), answers, discardEvents{})
	l.takesReports = takesReports
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = l.Run(ctx) }()
	assert.NilError(t, l.calls.Put(ctx, &outgoingCall{call: call.Call{Number: 1, Deadline: clock.NewMonotonic().Now().Add(time.Minute)}}))
	opened, err := submissions.Take(ctx)
	assert.NilError(t, err)
	return l, opened.open
}

// BenchmarkReportOverLink measures one report from the executor duty to the gateway duty,
// one at a time, with the work of both sides.
func BenchmarkReportOverLink(b *testing.B) {
	l, sink := openLink(b, true)
	load := call.Load{InFlight: 9, Queued: 3, Limit: 9, Latency: time.Millisecond, Wait: 50 * time.Millisecond, Slowdown: 1.5}
	b.ReportAllocs()
	for range b.N {
		sink.report(context.Background(), &load)
		_, _ = l.answers.Take(context.Background())
	}
}
