package soak

import (
	"fmt"

	"github.com/samber/lo"

	"endivespring/internal/standin"
)

// coldOverloads finds requests beyond the capacity of an upstream that was warming up.
func coldOverloads(h *History) []string {
	return lo.Map(h.ColdOverloads, func(l standin.LedgerLine, _ int) string {
		return fmt.Sprintf("request %s reached %s with %d in progress, but its capacity is %d", l.RequestID, l.Upstream, l.InFlight, l.Capacity)
	})
}

// executionsAfterOut finds executions that began in a data centre after it was out of
// service everywhere. Requests accepted before may run until their deadline.
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
		for _, e := range h.Executions {
			late := e.From.After(c.InForce.Add(operationDeadline)) && (!isBack || e.From.Before(back.At))
			if late && h.DataCentres[e.Upstream] == c.Target && isBack {
				out = append(out, fmt.Sprintf("request %s began at %s %s after %s was taken out of service", e.RequestID, e.Upstream, e.From.Sub(c.InForce), c.Target))
			}
		}
	}
	return out
}
