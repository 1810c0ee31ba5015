package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// twoOwners finds runs of one shard at different upstreams that overlap. A run
// that its upstream slept through is left out: it began while the upstream
// owned the shard, and nobody could end it.
func overlappingOwners(h *History) []string {
	var out []string
	for shard, runs := range h.executionsByShard() {
		for i := range runs {
			a := &runs[i]
			end := h.endOf(a)
			for _, b := range runs[i+1:] {
				if b.Upstream != a.Upstream && b.From.Before(end) && !h.wasFrozen(a.Upstream, a.From, end) {
					out = append(out, fmt.Sprintf("shard %s ran %s at %s and %s at %s, %s at once", shard, a.RequestID, a.Upstream, b.RequestID, b.Upstream, end.Sub(b.From)))
				}
			}
		}
	}
	return out
}

// staleEpochs finds runs under an older epoch than one seen before at another
// upstream.
func decreasingEpochs(h *History) []string {
	var out []string
	for shard, runs := range h.executionsByShard() {
		newest := runs[0]
		for _, r := range runs[1:] {
			if r.Epoch < newest.Epoch && r.Upstream != newest.Upstream {
				out = append(out, fmt.Sprintf("shard %s ran %s at %s with epoch %d after epoch %d at %s", shard, r.RequestID, r.Upstream, r.Epoch, newest.Epoch, newest.Upstream))
			}
			if r.Epoch > newest.Epoch {
				newest = r
			}
		}
	}
	return out
}

// runsByShard returns the runs of each shard of the service divided by key, in
// the order of their start. Requests of the other one have a shard only for the
// record of their ids.
func (h *History) executionsByShard() map[string][]Execution {
	runs := lo.GroupBy(lo.Filter(h.Executions, func(r Execution, _ int) bool { return r.Key != "" }), func(r Execution) string { return r.Shard })
	for _, shard := range runs {
		slices.SortFunc(shard, func(a, b Execution) int { return cmp.Compare(a.At, b.At) })
	}
	return runs
}

// endOf returns when a run ended. One without an end in the ledger ended at the
// latest when its upstream was killed.
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

// froze reports whether a process was frozen at some time of a span.
func (h *History) wasFrozen(process string, from, to time.Time) bool {
	return lo.ContainsBy(h.Injected, func(i InjectedFault) bool {
		return i.Kind == Freeze && i.Target == process && i.Begun.Before(to) && i.Ended.After(from)
	})
}
