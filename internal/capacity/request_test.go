package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/gateway"
	"endivespring/internal/verdict"
)

// BenchmarkGatewayRequest measures the gateway core's processing of one request that
// succeeds at the first try.
func BenchmarkGatewayRequest(b *testing.B) {
	for _, size := range sizes {
		for _, service := range []int{0, 1} {
			b.Run(fmt.Sprintf("routers=%d/keyed=%v", size[0], service == 0), func(b *testing.B) {
				core := gateway.New(gateway.Settings{})
				assert.Assert(b, core.SetView(0, newFleet(size[0], size[1]).View.Full()))
				core.SetViewLease(clock.Never)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := clock.Instant(i) * 1000
					core.Start(now, gateway.Request{Token: uint64(i + 1), ID: "request", Service: serviceName(service), Operation: "lookup", Key: fmt.Sprint(i)})
					sends := core.Take().Sends
					assert.Equal(b, len(sends), 1)
					core.HandleAnswer(now+500, sends[0].Router.ID, call.Answer{Number: sends[0].Call.Number, RequestID: "request", Verdict: verdict.Ran, Load: call.Load{Limit: slotsPerUpstream}})
					assert.Equal(b, len(core.Take().Replies), 1)
				}
			})
		}
	}
}

// newExecutor returns the executor core of router 1, whose upstream serves an unkeyed
// service.
func newExecutor() *executor.Core {
	state := newFleet(8, 64)
	core := executor.New(newRouter(1).ID, newRouter(1).DataCentre)
	core.SetView(1, state.View.Full())
	core.SetLease(1, 2, clock.Never, clock.Never)
	core.Announce(1, newRouter(1).Upstream)
	return core
}

// BenchmarkExecutorRequest measures the executor core's processing of one request that
// succeeds.
func BenchmarkExecutorRequest(b *testing.B) {
	for _, idempotent := range []bool{true, false} {
		b.Run(fmt.Sprintf("idempotent=%v", idempotent), func(b *testing.B) {
			core := newExecutor()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				// Requests are 20 ms apart, so that records expire when their window
				// ends and don't pile up.
				runOne(b, core, i, clock.Instant(i)*clock.Instant(20*time.Millisecond), idempotent)
			}
		})
	}
}

func runOne(b testing.TB, core *executor.Core, i int, now clock.Instant, idempotent bool) {
	b.Helper()
	request := call.Call{
		Number: uint64(i + 1), RequestID: fmt.Sprintf("0123456789abcdef-%d", i), Service: serviceName(1), Operation: "lookup",
		Idempotent: idempotent, Sharded: !idempotent, Deadline: now + clock.Instant(time.Second),
	}
	core.Submit(now, executor.Ticket{Link: 1, Number: request.Number}, request)
	runs := core.Take().Runs
	assert.Equal(b, len(runs), 1)
	answer := call.Answer{Verdict: verdict.Ran, Status: 200, Body: make([]byte, 100)}
	core.Complete(now+1000, executor.Outcome{Run: runs[0].ID, Answer: answer, Health: admission.Good})
	assert.Equal(b, len(core.Take().Replies), 1)
}

// BenchmarkRecords measures the heap memory of one deduplication record with an
// answer of 100 bytes.
func BenchmarkRecords(b *testing.B) {
	const records = 50000
	for b.Loop() {
		heap := heapBytes(func() *executor.Core {
			core := newExecutor()
			for i := range records {
				runOne(b, core, i, clock.Instant(i), false)
			}
			return core
		})
		b.ReportMetric(float64(heap)/records, "B/record")
	}
}
