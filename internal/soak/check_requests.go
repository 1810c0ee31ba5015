package soak

import (
	"fmt"

	"github.com/samber/lo"

	"endivespring/internal/verdict"
)

// duplicateExecutions finds non-idempotent requests that ran more than once.
func duplicateExecutions(h *History) []string {
	var out []string
	for id, executions := range h.executionsByID() {
		if len(executions) > 1 && !idempotent(executions[0].Operation) {
			out = append(out, fmt.Sprintf("request %s ran %d times: at %s and %s", id, len(executions), executions[0].Upstream, executions[1].Upstream))
		}
	}
	return out
}

// mismatchedAnswers finds answers that belong to another request or are incomplete.
func mismatchedAnswers(h *History) []string {
	return lo.FilterMap(h.Sends, func(s Send, _ int) (string, bool) {
		return fmt.Sprintf("request %s got a mismatched or incomplete answer from %s", s.ID, s.Router), s.Mismatched
	})
}

// falseRefusals finds requests that ran although the final answer said not-run.
// For an idempotent request, not-run covers only the send that it answers, so it is
// checked only if no earlier send may have run.
func falseRefusals(h *History) []string {
	executions := h.executionsByID()
	return lo.FilterMap(h.Sends, func(s Send, _ int) (string, bool) {
		conclusive := s.Attempt == 1 || !idempotent(s.Operation)
		text := fmt.Sprintf("request %s was answered not-run by %s (%s), but ran", s.ID, s.Router, s.Reason)
		return text, s.Final && conclusive && s.Verdict == verdict.NotRun.String() && len(executions[s.ID]) > 0
	})
}

// answersWithoutExecution finds requests that were answered as ran but are in no
// ledger. It checks nothing if an upstream was killed, since the last lines of that
// ledger may be lost.
func answersWithoutExecution(h *History) []string {
	if lo.ContainsBy(h.Injected, func(i InjectedFault) bool { return i.Kind == Kill && isUpstream(i.Target) }) {
		return nil
	}
	executions := h.executionsByID()
	return lo.FilterMap(h.Sends, func(s Send, _ int) (string, bool) {
		return fmt.Sprintf("request %s did not run, but %s answered ran", s.ID, s.Router), s.Verdict == verdict.Ran.String() && len(executions[s.ID]) == 0
	})
}

// exceededRetryBudget reports a violation if idempotent requests ran more often than
// the budgets for retries and hedges allow, besides resends by callers. Each fault
// at a router is counted as a restart, which brings a full budget for each service.
func exceededRetryBudget(h *History) []string {
	requests, repeats := 0, 0
	for _, executions := range h.executionsByID() {
		if idempotent(executions[0].Operation) {
			requests++
			repeats += len(executions) - 1
		}
	}
	resent := lo.CountBy(h.Sends, func(s Send) bool { return s.Attempt > 1 })
	starts := h.Plan.Routers + lo.CountBy(h.Injected, func(i InjectedFault) bool { return isRouter(i.Target) })
	allowed := int((retryBudget+hedgeBudget)*float64(requests)) + retryBurst*starts*serviceCount + resent
	if repeats <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("%d requests had %d repeated executions; %d are allowed", requests, repeats, allowed)}
}
