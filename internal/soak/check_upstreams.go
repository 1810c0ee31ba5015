package soak

import (
	"fmt"

	"github.com/samber/lo"

	"endivespring/internal/standin"
)

// overloads finds requests beyond what a cold upstream bore.
func overloads(h *History) []string {
	return lo.Map(h.Overloads, func(l standin.LedgerLine, _ int) string {
		return fmt.Sprintf("request %s came to %s with %d under way, which bears %d", l.RequestID, l.Upstream, l.Running, l.Bears)
	})
}

// workAfterOut finds runs that began at an upstream of a data centre after its
// way out was in force everywhere. Requests taken before may run until their
// deadline.
func workAfterOut(h *History) []string {
	var out []string
	for i := range h.Orders {
		o := &h.Orders[i]
		if o.Kind != TakeOut || !o.Out || o.InForce.IsZero() {
			continue
		}
		back, isBack := lo.Find(h.Orders[i+1:], func(later Order) bool { return later.Kind == TakeOut && later.Target == o.Target && !later.Out })
		for _, r := range h.Runs {
			late := r.From.After(o.InForce.Add(operationDeadline)) && (!isBack || r.From.Before(back.At))
			if late && h.Centres[r.Upstream] == o.Target && isBack {
				out = append(out, fmt.Sprintf("request %s began at %s, %s after %s was out", r.RequestID, r.Upstream, r.From.Sub(o.InForce), o.Target))
			}
		}
	}
	return out
}
