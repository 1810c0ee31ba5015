package caller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// A stopping router still serves the requests of runs that its upstream works on, since
// these would fail otherwise; it refuses others at once.
func TestStoppingRouterTakesRequestsOfRunsOnly(t *testing.T) {
	requests := ring.New[*Request]("requests", 4, ring.Refuse)
	client := NewGatewayClient(clock.NewMonotonic(), requests, func(*call.Answer, time.Duration) {})
	client.Refuse()
	answer := client.Do(nil, gateway.Request{ID: "a"})
	assert.Equal(t, answer.Verdict, verdict.NotRun)
	assert.Equal(t, answer.Reason, verdict.ReasonStopping)
	assert.Assert(t, answer.RetryAfter > 0)
	assert.Equal(t, requests.Depth(), 0)
	done := make(chan call.Answer, 1)
	go func() { done <- client.Do(nil, gateway.Request{ID: "a.1", Nested: true}) }()
	request := <-requests.Out()
	request.Reply.Send(call.Answer{RequestID: "a.1", Verdict: verdict.Ran})
	assert.Equal(t, (<-done).Verdict, verdict.Ran)
}
