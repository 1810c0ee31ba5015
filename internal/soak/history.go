package soak

import (
	"time"

	"endivespring/internal/standin"
)

// History is what callers, operators, upstreams and the injector saw of a run.
type History struct {
	Plan        *Plan
	Start       time.Time
	Sends       []Send
	Commands    []Command
	PresetReads []PresetRead
	Injected    []InjectedFault
	Executions  []Execution
	// Overloads are requests beyond what their upstream bore.
	ColdOverloads []standin.LedgerLine
	// Centres is the data centre of each upstream.
	DataCentres map[string]string
	// Complete is set once all callers have stopped.
	Complete bool
}

func (h *History) add(o *observation) {
	switch {
	case o.send != nil:
		h.Sends = append(h.Sends, *o.send)
	case o.command != nil:
		h.Commands = append(h.Commands, *o.command)
	case o.presetRead != nil:
		h.PresetReads = append(h.PresetReads, *o.presetRead)
	case o.injected != nil:
		h.addInjected(o.injected)
	}
}

// inject takes the beginning of a fault, or its end in place of that.
func (h *History) addInjected(i *InjectedFault) {
	for j := range h.Injected {
		if h.Injected[j].Index == i.Index {
			h.Injected[j] = *i
			return
		}
	}
	h.Injected = append(h.Injected, *i)
}

// runsByID returns the runs of each request.
func (h *History) executionsByID() map[string][]Execution {
	runs := map[string][]Execution{}
	for _, r := range h.Executions {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	return runs
}
