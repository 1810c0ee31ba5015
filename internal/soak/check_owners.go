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
	for shard, executions := range h.executionsByShard() {
		for i := range executions {
			a := &executions[i]
			end := h.endOf(a)
			for _, b := range executions[i+1:] {
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
	for shard, executions := range h.executionsByShard() {
		newest := executions[0]
		for _, e := range executions[1:] {
			if e.Epoch < newest.Epoch && e.Upstream != newest.Upstream {
				out = append(out, fmt.Sprintf("shard %s: %s at %s has epoch %d after epoch %d at %s", shard, e.RequestID, e.Upstream, e.Epoch, newest.Epoch, newest.Upstream))
			}
			if e.Epoch > newest.Epoch {
				newest = e
			}
		}
	}
	return out
}

// executionsByShard returns the executions of each shard of the keyed service,
// ordered by start. Requests without a key have a shard only for deduplication and
// are left out.
func (h *History) executionsByShard() map[string][]Execution {
	executions := lo.GroupBy(lo.Filter(h.Executions, func(e Execution, _ int) bool { return e.Key != "" }), func(e Execution) string { return e.Shard })
	for _, shard := range executions {
		slices.SortFunc(shard, func(a, b Execution) int { return cmp.Compare(a.UnixNanos, b.UnixNanos) })
	}
	return executions
}

// endOf returns when an execution ended. If the ledger has no end for it, that is
// the next time its upstream was killed or terminated, or else its start.
func (h *History) endOf(e *Execution) time.Time {
	if !e.To.IsZero() {
		return e.To
	}
	for _, i := range h.Injected {
		if i.Target == e.Upstream && (i.Kind == Kill || i.Kind == Terminate) && i.Begun.After(e.From) {
			return i.Begun
		}
	}
	return e.From
}

// wasFrozen reports whether a process was frozen at any time between two instants.
func (h *History) wasFrozen(process string, from, to time.Time) bool {
	return lo.ContainsBy(h.Injected, func(i InjectedFault) bool {
		return i.Kind == Freeze && i.Target == process && i.Begun.Before(to) && i.Ended.After(from)
	})
}
