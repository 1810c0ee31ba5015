package soak

import (
	"fmt"
	"time"

	"endivespring/internal/verdict"
)

// slowRecovery reports a violation if, after the last fault or operator command
// and the time allowed for recovery, less than minServedShare ran of the sends that
// no send with an unknown outcome preceded.
func slowRecovery(h *History) []string {
	from := h.Start
	for _, i := range h.Injected {
		if i.Ended.After(from) {
			from = i.Ended
		}
	}
	for _, c := range h.Commands {
		if c.Acked.After(from) {
			from = c.Acked
		}
	}
	from = from.Add(recoveryBound + restartTime)
	sent, served := 0, 0
	var first *Send
	for i := range h.Sends {
		s := &h.Sends[i]
		if s.At.Before(from) || s.Attempt > 1 {
			continue
		}
		sent++
		if s.Verdict == verdict.Ran.String() {
			served++
		} else if first == nil {
			first = s
		}
	}
	if first == nil || float64(served) >= minServedShare*float64(sent) {
		return nil
	}
	return []string{fmt.Sprintf("only %d of %d requests sent more than %s after the last fault were served; first not served: %s to %s at %s (%s %s)",
		served, sent, recoveryBound+restartTime, first.ID, first.Router, first.At.Sub(h.Start).Round(time.Millisecond), first.Verdict, first.Reason)}
}
