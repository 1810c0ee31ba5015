package soak

import (
	"fmt"

	"github.com/samber/lo"

	"endivespring/internal/standin"
)

// overloads finds requests beyond what a cold upstream bore.
func coldOverloads(h *History) []string {
	return lo.Map(h.ColdOverloads, func(l standin.LedgerLine, _ int) string {
		return fmt.Sprintf("request %s came to %s with %d under way, which bears %d", l.RequestID, l.Upstream, l.InFlight, l.Capacity)
	})
}

// workAfterOut finds runs that began at an upstream of a data centre after its
// way out was in force everywhere. Requests taken before may run until their
// deadline.
func executionsAfterOut(h *History) []string {
	var out []string
	for i := range h.Commands {
		c := &h.Commands[i]
		if c.Kind != TakeOutDataCentre || !c.Out || c.InForce.IsZero() {
			continue
		}
		back, isBack := lo.Find(h.Commands[i+1:], func(later Command) bool {
			return later.Kind == TakeOutDataCentre && later.Target == c.Target && !later.Out
		})
		for _, r := range h.Executions {
			late := r.From.After(c.InForce.Add(operationDeadline)) && (!isBack || r.From.Before(back.At))
			if late && h.DataCentres[r.Upstream] == c.Target && isBack {
				out = append(out, fmt.Sprintf("request %s began at %s, %s after %s was out", r.RequestID, r.Upstream, r.From.Sub(c.InForce), c.Target))
			}
		}
	}
	return out
}
