package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// overlappingOwners finds executions of one shard that overlap in time at
// different upstreams. An execution during which its upstream was frozen is left
// out: it began while the upstream owned the shard, and nothing could stop it.
func overlappingOwners(h *History) []string {
	var out []string
	for shard, runs := range h.executionsByShard() {
		for i := range runs {
			a := &runs[i]
			end := h.endOf(a)
			for _, b := range runs[i+1:] {
				if b.Upstream != a.Upstream && b.From.Before(end) && !h.wasFrozen(a.Upstream, a.From, end) {
					out = append(out, fmt.Sprintf("shard %s: %s at %s and %s at %s overlap by %s", shard, a.RequestID, a.Upstream, b.RequestID, b.Upstream, end.Sub(b.From)))
				}
			}
		}
	}
	return out
}

// decreasingEpochs finds executions with an older epoch than an earlier execution
// at another upstream.
func decreasingEpochs(h *History) []string {
	var out []string
	for shard, runs := range h.executionsByShard() {
		newest := runs[0]
		for _, r := range runs[1:] {
			if r.Epoch < newest.Epoch && r.Upstream != newest.Upstream {
				out = append(out, fmt.Sprintf("shard %s: %s at %s has epoch %d after epoch %d at %s", shard, r.RequestID, r.Upstream, r.Epoch, newest.Epoch, newest.Upstream))
			}
			if r.Epoch > newest.Epoch {
				newest = r
			}
		}
	}
	return out
}

// executionsByShard returns the executions of each shard of the keyed service,
// ordered by start. Requests without a key have a shard only for deduplication and
// are left out.
func (h *History) executionsByShard() map[string][]Execution {
	runs := lo.GroupBy(lo.Filter(h.Executions, func(r Execution, _ int) bool { return r.Key != "" }), func(r Execution) string { return r.Shard })
	for _, shard := range runs {
		slices.SortFunc(shard, func(a, b Execution) int { return cmp.Compare(a.At, b.At) })
	}
	return runs
}

// endOf returns when an execution ended. If the ledger has no end for it, that is
// the next time its upstream was killed or terminated, or else its start.
func (h *History) endOf(r *Execution) time.Time {
	if !r.To.IsZero() {
		return r.To
	}
	for _, i := range h.Injected {
		if i.Target == r.Upstream && (i.Kind == Kill || i.Kind == Terminate) && i.Begun.After(r.From) {
			return i.Begun
		}
	}
	return r.From
}

// wasFrozen reports whether a process was frozen at any time between two instants.
func (h *History) wasFrozen(process string, from, to time.Time) bool {
	return lo.ContainsBy(h.Injected, func(i InjectedFault) bool {
		return i.Kind == Freeze && i.Target == process && i.Begun.Before(to) && i.Ended.After(from)
	})
}
