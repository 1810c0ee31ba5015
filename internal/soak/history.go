package soak

import (
	"time"

	"endivespring/internal/standin"
)

// History is what callers, operators, upstreams and the injector saw of a run.
type History struct {
	Plan     *Plan
	Start    time.Time
	Sends    []Send
	Orders   []Order
	Readings []Reading
	Injected []Injected
	Runs     []Run
	// Overloads are requests beyond what their upstream bore.
	Overloads []standin.LedgerLine
	// Centres is the data centre of each upstream.
	Centres map[string]string
	// Complete is set once all callers have stopped.
	Complete bool
}

func (h *History) add(o *observation) {
	switch {
	case o.send != nil:
		h.Sends = append(h.Sends, *o.send)
	case o.order != nil:
		h.Orders = append(h.Orders, *o.order)
	case o.reading != nil:
		h.Readings = append(h.Readings, *o.reading)
	case o.injected != nil:
		h.inject(o.injected)
	}
}

// inject takes the beginning of a fault, or its end in place of that.
func (h *History) inject(i *Injected) {
	for j := range h.Injected {
		if h.Injected[j].Number == i.Number {
			h.Injected[j] = *i
			return
		}
	}
	h.Injected = append(h.Injected, *i)
}

// runsByID returns the runs of each request.
func (h *History) runsByID() map[string][]Run {
	runs := map[string][]Run{}
	for _, r := range h.Runs {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	return runs
}
