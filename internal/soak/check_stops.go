package soak

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

// cutRequests finds requests that were running when their router was stopped
// with SIGTERM and got no answer, with no other fault from just before.
func requestsLostAtStop(h *History) []string {
	var out []string
	runs := h.executionsByID()
	for i := range h.Injected {
		stop := &h.Injected[i]
		if stop.Kind != Terminate || !isRouter(stop.Target) || h.hadFaultAround(stop) {
			continue
		}
		for _, s := range h.Sends {
			during := s.Ended.After(stop.Begun) && s.At.Before(stop.Ended)
			if s.ConnectionLost && during && s.Router == stop.Target && executedDuring(runs[s.ID], &s) {
				out = append(out, fmt.Sprintf("request %s to %s ran and was cut %s after SIGTERM", s.ID, s.Router, s.Ended.Sub(stop.Begun)))
			}
		}
	}
	return out
}

// ranDuring reports whether one of a request's runs began while a sending was
// under way. A run of a later sending is none of its.
func executedDuring(runs []Execution, s *Send) bool {
	return lo.ContainsBy(runs, func(r Execution) bool { return r.From.After(s.At) && r.From.Before(s.Ended) })
}

// disturbed reports whether a fault lasted at some time from shortly before a
// stop to its end.
func (h *History) hadFaultAround(stop *InjectedFault) bool {
	from := stop.Begun.Add(-recoveryBound - restartTime)
	return lo.ContainsBy(h.Injected, func(i InjectedFault) bool {
		return !i.Kind.planned() && i.Begun.Before(stop.Ended) && i.Ended.After(from)
	})
}

// overdueProcesses finds processes that did not end after SIGTERM.
func overdueStops(h *History) []string {
	return lo.FilterMap(h.Injected, func(i InjectedFault, _ int) (string, bool) {
		return fmt.Sprintf("%s still ran %s after SIGTERM", i.Target, i.Ended.Sub(i.Begun).Round(time.Millisecond)), i.Overdue && !h.wasFrozen(i.Target, i.Begun, i.Ended)
	})
}
