package command

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"endivespring/internal/gateway"
)

// whereReport is the output of explain where.
type whereReport struct {
	View       uint64           `json:"view"`
	Decision   string           `json:"decision"`
	Reason     string           `json:"reason,omitempty"`
	Why        string           `json:"why"`
	Route      string           `json:"route,omitempty"`
	Service    string           `json:"service,omitempty"`
	Split      map[string]int   `json:"split,omitempty"`
	Key        *whereKey        `json:"key,omitempty"`
	Candidates []whereCandidate `json:"candidates,omitempty"`

	refusal string
}

func newWhereReport(q *gateway.Question, w *gateway.Whereabouts) *whereReport {
	r := &whereReport{
		View: uint64(w.View), Decision: string(w.Decision), Reason: string(w.Reason), Why: w.Why, Route: w.Route, Service: w.Service,
		refusal: refusalText(w.Reason),
	}
	for _, target := range w.Targets {
		if r.Split == nil {
			r.Split = map[string]int{}
		}
		r.Split[target.Service] = target.Weight
	}
	if w.Keyed {
		r.Key = &whereKey{Key: keyOf(q), Shard: w.Shard, Phase: w.Phase.String(), Owner: string(w.Owner), Epoch: uint64(w.Epoch)}
	}
	for i := range w.Candidates {
		r.Candidates = append(r.Candidates, newWhereCandidate(&w.Candidates[i]))
	}
	return r
}

func (r *whereReport) print(w io.Writer) {
	fmt.Fprintf(w, "%s%s: %s; view %d\n", r.Decision, r.refusal, r.Why, r.View)
	if r.Route != "" {
		fmt.Fprintf(w, "route %s\n", r.Route)
	}
	if r.Service != "" {
		fmt.Fprintf(w, "service %s\n", r.Service)
	}
	if r.Split != nil {
		fmt.Fprintf(w, "the next of a split by weights %v\n", r.Split)
	}
	if r.Key != nil {
		r.Key.print(w)
	}
	for i := range r.Candidates {
		r.Candidates[i].print(w)
	}
}

// keyOf returns the key of a question as the operator gave it.
func keyOf(q *gateway.Question) string {
	if q.Numbered {
		return strconv.FormatUint(uint64(q.KeyNumber), 10)
	}
	return q.Key
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
