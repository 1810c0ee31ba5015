package soak

import (
	"fmt"

	"github.com/samber/lo"

	"endivespring/internal/verdict"
)

// ranTwice finds requests that are not idempotent and ran more than once.
func duplicateExecutions(h *History) []string {
	var out []string
	for id, runs := range h.executionsByID() {
		if len(runs) > 1 && !idempotent(runs[0].Operation) {
			out = append(out, fmt.Sprintf("request %s ran %d times: at %s and %s", id, len(runs), runs[0].Upstream, runs[1].Upstream))
		}
	}
	return out
}

// foreignAnswers finds answers that are not those of their request, or not whole.
func mismatchedAnswers(h *History) []string {
	return lo.FilterMap(h.Sends, func(s Send, _ int) (string, bool) {
		return fmt.Sprintf("request %s got another answer from %s", s.ID, s.Router), s.Mismatched
	})
}

// falseRefusals finds requests that ran though their caller was told at last
// that they had not. For a request that may be repeated, such an answer speaks
// of its own sending only: an earlier one that may have run says nothing.
func falseRefusals(h *History) []string {
	runs := h.executionsByID()
	return lo.FilterMap(h.Sends, func(s Send, _ int) (string, bool) {
		about := s.Attempt == 1 || !idempotent(s.Operation)
		text := fmt.Sprintf("request %s was refused as not run by %s (%s), but ran", s.ID, s.Router, s.Reason)
		return text, s.Final && about && s.Verdict == verdict.NotRun.String() && len(runs[s.ID]) > 0
	})
}

// inventedAnswers finds requests that did not run though their caller was told
// so. A killed upstream may have lost the last lines of its ledger.
func answersWithoutExecution(h *History) []string {
	if lo.ContainsBy(h.Injected, func(i InjectedFault) bool { return i.Kind == Kill && isUpstream(i.Target) }) {
		return nil
	}
	runs := h.executionsByID()
	return lo.FilterMap(h.Sends, func(s Send, _ int) (string, bool) {
		return fmt.Sprintf("request %s did not run, though %s said so", s.ID, s.Router), s.Verdict == verdict.Ran.String() && len(runs[s.ID]) == 0
	})
}

// spentBudget finds whether idempotent requests were sent to upstreams more
// often than the budgets for retries and hedges allow. Each start of a router
// brings a full budget.
func exceededRetryBudget(h *History) []string {
	requests, repeats := 0, 0
	for _, runs := range h.executionsByID() {
		if idempotent(runs[0].Operation) {
			requests++
			repeats += len(runs) - 1
		}
	}
	resent := lo.CountBy(h.Sends, func(s Send) bool { return s.Attempt > 1 })
	starts := h.Plan.Routers + lo.CountBy(h.Injected, func(i InjectedFault) bool { return isRouter(i.Target) })
	allowed := int((retryBudget+hedgeBudget)*float64(requests)) + retryBurst*starts*serviceCount + resent
	if repeats <= allowed {
		return nil
	}
	return []string{fmt.Sprintf("%d requests ran %d times more than once, %d are allowed", requests, repeats, allowed)}
}
