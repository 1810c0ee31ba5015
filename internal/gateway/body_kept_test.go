package gateway

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/balancer"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

// Guards against a body whose memory is in use as long as no other request follows: the heap of
// deadlines kept the last request that it gave away.
func TestAnsweredRequestHoldsNoBody(t *testing.T) {
	const size = 64 << 10
	core := New(Settings{Balancer: balancer.Settings{Seed: 1, Self: "r", DataCentre: "d"}})
	core.SetViewLease(clock.Never)
	service := fleet.Service{Name: "s", QueueLimit: 9, RetryBudget: 0.1, Operations: []fleet.Operation{{Name: "o", Idempotent: true, Deadline: time.Second}}}
	core.SetView(1, &fleet.Change{To: 1, Full: true, Preset: &fleet.Preset{Services: []fleet.Service{service}}, Routers: []fleet.Router{
		{ID: "r", Address: "a", DataCentre: "d", Upstream: fleet.Upstream{Name: "u", Service: "s", Slots: 3}},
	}})
	budget := memory.NewBudget(size)
	core.Start(2, Request{Token: 1, ID: "x", Service: "s", Operation: "o", Body: memory.NewBuffers(budget).Make(size)})
	number := core.Take().Sends[0].Call.Number
	runtime.GC()
	assert.Equal(t, budget.Left(), 0)
	core.HandleAnswer(3, "r", call.Answer{Number: number, RequestID: "x", Verdict: verdict.Ran, Status: 200})
	assert.Equal(t, len(core.Take().Replies), 1)
	for range 100 {
		if runtime.GC(); budget.Left() == size {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, budget.Left(), size)
	runtime.KeepAlive(core)
}
