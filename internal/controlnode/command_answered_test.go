package controlnode

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
	"endivespring/internal/operator"
	"endivespring/internal/placement"
	"endivespring/internal/ring"
)

// answeredLines runs a command through a controller duty with the given leadership, commits
// what is proposed and returns the lines of the log about answers.
func answeredLines(t *testing.T, leadership controller.Leadership) string {
	out := &bytes.Buffer{}
	log := event.NewLog(out, "test")
	core := controller.New(lease.Timing{}, placement.Limits{}, func(name string) string { return name + ":7100" })
	core.RequireVoters(2)
	d := &controllerDuty{
		core: core, clock: clock.NewMonotonic(), events: log, proposals: ring.New[[]byte]("proposals", 1, ring.Refuse),
		pendingCommands: map[uint64]pendingCommand{},
	}
	core.SetLeadership(d.clock.Now(), leadership)
	change := &fsm.OperatorChange{CommandID: "order", DataCentre: &fleet.DataCentreSetting{Name: "lodz", Out: true}}
	request := operator.Request{ReceivedAt: time.Now(), Change: change, Reply: ring.NewReply[operator.Reply]()}
	d.handleRequest(&request)
	assert.NilError(t, d.handleOutput(context.Background()))
	if d.proposals.Depth() > 0 {
		core.ApplyCommitted(d.clock.Now(), 1, &fsm.Command{OperatorChange: change})
		assert.NilError(t, d.handleOutput(context.Background()))
	}
	_, answered := request.Reply.Poll()
	assert.Assert(t, answered)
	assert.Equal(t, len(d.pendingCommands), 0)
	log.Flush()
	lines := ""
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, event.CommandAnswered.Name) {
			lines += line
		}
	}
	return lines
}

// Guards against orders of operators whose way cannot be traced: each attempt leaves a line
// with its outcome at the process that answered it.
func TestEachAttemptOfACommandIsLogged(t *testing.T) {
	until := clock.NewMonotonic().Now().Add(time.Hour)
	for outcome, leadership := range map[string]controller.Leadership{
		`"outcome":"redirected","leader":"c2:7100"`: {Leader: "c2"},
		`"outcome":"too few voters"`:                {IsLeader: true, Term: 1, LeaseUntil: until, Voters: []string{"c1"}},
		`"outcome":"accepted"`:                      {IsLeader: true, Term: 1, LeaseUntil: until, Voters: []string{"c1", "c2"}},
	} {
		lines := answeredLines(t, leadership)
		assert.Equal(t, strings.Count(lines, "\n"), 1, lines)
		assert.Assert(t, strings.Contains(lines, `"command":"order",`+outcome), lines)
	}
}
