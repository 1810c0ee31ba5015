package soak

import (
	"fmt"
	"time"

	"github.com/samber/lo"
)

// requestsLostAtStop finds requests that ran but got no answer because their router
// was stopped with SIGTERM. Stops with another fault shortly before or during them
// are left out.
func requestsLostAtStop(h *History) []string {
	var out []string
	executions := h.executionsByID()
	for i := range h.Injected {
		stop := &h.Injected[i]
		if stop.Kind != Terminate || !isRouter(stop.Target) || h.hadFaultAround(stop) {
			continue
		}
		for _, s := range h.Sends {
			during := s.Ended.After(stop.Begun) && s.At.Before(stop.Ended)
			if s.ConnectionLost && during && s.Router == stop.Target && executedDuring(executions[s.ID], &s) {
				out = append(out, fmt.Sprintf("request %s to %s ran but lost its connection %s after SIGTERM", s.ID, s.Router, s.Ended.Sub(stop.Begun)))
			}
		}
	}
	return out
}

// executedDuring reports whether an execution began while a send was in progress;
// executions of later sends don't count.
func executedDuring(executions []Execution, s *Send) bool {
	return lo.ContainsBy(executions, func(e Execution) bool { return e.From.After(s.At) && e.From.Before(s.Ended) })
}

// hadFaultAround reports whether an unplanned fault was active during a stop or
// within the time allowed for recovery before it.
func (h *History) hadFaultAround(stop *InjectedFault) bool {
	from := stop.Begun.Add(-recoveryBound - restartTime)
	return lo.ContainsBy(h.Injected, func(i InjectedFault) bool {
		return !i.Kind.planned() && i.Begun.Before(stop.Ended) && i.Ended.After(from)
	})
}

// overdueStops finds processes that did not exit in time after SIGTERM, other than
// those that were frozen meanwhile.
func overdueStops(h *History) []string {
	return lo.FilterMap(h.Injected, func(i InjectedFault, _ int) (string, bool) {
		return fmt.Sprintf("%s had not exited %s after SIGTERM", i.Target, i.Ended.Sub(i.Begun).Round(time.Millisecond)), i.Overdue && !h.wasFrozen(i.Target, i.Begun, i.Ended)
	})
}
