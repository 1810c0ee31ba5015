package metrics

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/event"
	"endivespring/internal/fsm"
	"endivespring/internal/memory"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

type fixedClock clock.Instant

func (c fixedClock) Now() clock.Instant { return clock.Instant(c) }

// TestServedText sets metrics of every kind and checks their values as served
// over HTTP.
func TestServedText(t *testing.T) {
	log := event.NewLog(io.Discard, "test")
	r := NewRegistry(log)
	full := ring.New[int]("tiny", 1, ring.Refuse)
	_, _ = full.Put(context.Background(), 1), full.Put(context.Background(), 2)
	dropping := ring.New[int]("dropping", 1, ring.DropOldest)
	_, _ = dropping.Put(context.Background(), 1), dropping.Put(context.Background(), 2)
	r.RegisterRings(full, dropping)
	again := ring.New[int]("dropping", 1, ring.DropOldest)
	for i := range 3 {
		_ = again.Put(context.Background(), i)
	}
	r.RegisterRings(again)
	log.Record(event.PeerLost)

	meter := NewRequestMeter(r)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 500 {
				meter.Observe(&call.Answer{Verdict: verdict.Ran, Service: "s", Route: "a"}, 2*time.Millisecond)
				meter.Observe(&call.Answer{Verdict: verdict.NotRun, Reason: verdict.ReasonShed}, time.Millisecond)
			}
		})
	}
	group.Wait()
	executor := NewExecutorMeter(r)
	executor.Set(call.Load{Limit: 10, InFlight: 7, Queued: 3, Wait: 40 * time.Millisecond, Slowdown: 2.9999})
	executor.SetLearned(11)
	executor.Refused("parent")
	executor.SetOperation("vanished", false, 2, 0.4, 0.25)
	executor.ZeroVanished()
	executor.SetOperation("o", true, 2, 0.4, 0.25)
	executor.ZeroVanished()
	NewRangeMeter(r).Observe("grant", "applied")
	bodies := memory.NewBudget(1000)
	assert.Assert(t, bodies.Take(300))
	RegisterCallerMemory(r, caller.NewMemory(fixedClock(time.Second), caller.MemoryLimits{
		MaxConnections: 1, Connections: memory.NewBudget(1), Bodies: bodies, Answers: memory.NewBudget(1),
	}, log))
	NewLoadMeter(r).CountSent(false)
	session := NewSessionMeter(r, fixedClock(time.Second))
	session.SetLeases(clock.Instant(1500*time.Millisecond), clock.Instant(time.Millisecond))
	session.SetView(9)
	c := NewControlMeter(r)
	c.SetLeadership(&controller.Leadership{IsLeader: true, Commit: 40, Snapshot: 32, Term: 3})
	state := fsm.NewState()
	state.View.Config = 5
	c.SetState(39, state)

	response, err := NewServer(r).Test(httptest.NewRequest("GET", "/metrics", nil))
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get("Content-Type"), textType)
	text := string(body)
	for _, line := range []string{
		`endivespring_ring_depth{ring="tiny"} 1`, `endivespring_ring_refused_total{ring="tiny"} 1`,
		`endivespring_ring_dropped_total{ring="dropping"} 2`, `endivespring_ring_capacity{ring="dropping"} 1`,
		`endivespring_events_total{event="711",name="peer-lost"} 1`, `endivespring_events_total{event="700",name="connection-retired"} 0`,
		`endivespring_requests_total{verdict="ran",reason="",service="s",route="a"} 4000`,
		`endivespring_requests_total{verdict="not-run",reason="shed",service="",route=""} 4000`,
		`endivespring_request_latency_microseconds_count 8000`, `endivespring_request_latency_microseconds{quantile="0.999"} 2000`,
		`endivespring_caller_memory_bytes{budget="bodies"} 300`, `endivespring_caller_memory_bytes{budget="answers"} 0`,
		`endivespring_caller_connections 0`, `endivespring_caller_refused_total{cause="slow"} 0`,
		`endivespring_door_limit 10`, `endivespring_door_running 7`, `endivespring_door_queued 3`,
		`endivespring_door_wait_milliseconds 40`, `endivespring_door_refused_total{why="parent"} 1`, `endivespring_operation_queued{operation="o",nested="true"} 2`,
		`endivespring_operation_asked_percent{operation="o",nested="true"} 40`, `endivespring_operation_given_percent{operation="o",nested="true"} 25`, `endivespring_operation_asked_percent{operation="vanished",nested="false"} 0`,
		`endivespring_load_reports_total{result="sent"} 0`, `endivespring_load_reports_total{result="dropped"} 1`,
		`endivespring_door_learned_limit 11`, `endivespring_door_slowdown_percent 300`,
		`endivespring_ownership_lease_left_milliseconds 500`, `endivespring_view_lease_left_milliseconds 0`,
		`endivespring_log_commit_index 40`, `endivespring_log_applied_index 39`, `endivespring_log_snapshot_index 32`,
		`endivespring_log_term 3`, `endivespring_leads 1`, `endivespring_config_version 5`, `endivespring_sessions 0`,
		"# TYPE endivespring_events_total counter", "# TYPE endivespring_door_limit gauge",
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), "missing %s in\n%s", line, text)
	}
	assertTextForm(t, text)
}

// assertTextForm checks the syntax of each line, and that each family has one
// TYPE line.
func assertTextForm(t *testing.T, text string) {
	t.Helper()
	line := regexp.MustCompile(`^(# (HELP|TYPE) endivespring_\w+ .+|endivespring_\w+(\{\w+="[^"]*"(,\w+="[^"]*")*\})? -?\d+(\.\d+)?)$`)
	for _, l := range strings.Split(strings.TrimSpace(text), "\n") {
		assert.Assert(t, line.MatchString(l), "bad line %q", l)
	}
	for _, f := range Catalogue() {
		assert.Equal(t, strings.Count(text, "# TYPE "+f.Name+" "), 1, f.Name)
	}
}

func TestLabelsAreEscaped(t *testing.T) {
	assert.Equal(t, series(RingDepth, label{"ring", "a\"b\\c\nd"}), `endivespring_ring_depth{ring="a\"b\\c\nd"}`)
}

func TestNilMetersDoNothing(t *testing.T) {
	(*Registry)(nil).RegisterRings(ring.New[int]("x", 1, ring.Wait))
	(*ExecutorMeter)(nil).Set(call.Load{})
	(*ExecutorMeter)(nil).SetLearned(1)
	(*SessionMeter)(nil).SetLeases(1, 1)
	(*SessionMeter)(nil).SetView(1)
	(*ControlMeter)(nil).SetLeadership(&controller.Leadership{})
	(*ControlMeter)(nil).SetState(1, fsm.NewState())
}

// TestCountersAreBounded checks that requests of too many routes share a counter,
// so that memory and scrape size stay bounded.
func TestCountersAreBounded(t *testing.T) {
	registry := NewRegistry(event.NewLog(&bytes.Buffer{}, "test"))
	meter := NewRequestMeter(registry)
	const routes = 3 * maxOutcomes
	for i := range routes {
		meter.Observe(&call.Answer{Verdict: verdict.Ran, Route: fmt.Sprint(i)}, time.Millisecond)
	}
	var text bytes.Buffer
	registry.WriteText(&text)
	assert.Assert(t, strings.Count(text.String(), "endivespring_requests_total{") <= maxOutcomes+1)
	want := fmt.Sprintf(`endivespring_requests_total{verdict="ran",reason="",service="other",route="other"} %d`, routes-maxOutcomes)
	assert.Assert(t, strings.Contains(text.String(), want), want)
}
