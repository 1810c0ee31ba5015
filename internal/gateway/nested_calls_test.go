package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/verdict"
)

// TestNestedRequestsAreReported checks that the executor is told of nested requests, with the
// deadline of the parent and not that of the route, and of the wait at their service at most
// once per interval. Without the setting, and for other requests, nothing is reported.
func TestNestedRequestsAreReported(t *testing.T) {
	core := newCoreWithRouters(t, 1, 2)
	now := clock.Instant(time.Hour)
	start := func(token uint64, nested bool) Output {
		core.Start(now, Request{Token: token, ID: "id", Method: "GET", Host: "h", Path: "/x", Target: "/x", Timeout: 3 * time.Second, Nested: nested})
		return core.Take()
	}
	assert.Equal(t, len(start(1, true).NestedCalls), 0, "the setting is off")
	core.settings.ReportNested = true
	assert.Equal(t, len(start(2, false).NestedCalls), 0)
	out := start(3, true)
	assert.Equal(t, len(out.NestedCalls), 1)
	nested := out.NestedCalls[0]
	assert.Equal(t, nested.Service, "s")
	assert.Equal(t, nested.ParentDeadline, now.Add(3*time.Second))
	assert.Equal(t, nested.Objective, 400*time.Millisecond)
	core.ReportWaits(now)
	assert.Equal(t, len(core.Take().Waits), 0, "no executor has reported")
	core.HandleAnswer(now, out.Sends[0].Router.ID, call.Answer{
		Number: out.Sends[0].Call.Number, RequestID: "id", Verdict: verdict.Ran, Status: 200, Load: call.Load{Limit: 9, NestedWait: time.Second},
	})
	core.ReportWaits(now.Add(waitInterval / 2))
	assert.Equal(t, len(core.Take().Waits), 0, "reported a moment ago")
	core.ReportWaits(now.Add(waitInterval))
	assert.DeepEqual(t, core.Take().Waits, []call.ServiceWait{{Service: "s", Wait: time.Second, ReportedAt: now}})
	core.ReportWaits(now.Add(nestedMemory + time.Second))
	assert.Equal(t, len(core.nestedServices), 0)
}
