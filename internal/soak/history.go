package soak

import (
	"time"

	"endivespring/internal/standin"
)

// History holds what callers, operators, upstreams and the fault injector observed
// in a run.
type History struct {
	Plan        *Plan
	Start       time.Time
	Sends       []Send
	Commands    []Command
	PresetReads []PresetRead
	Injected    []InjectedFault
	Executions  []Execution
	// ColdOverloads are requests beyond the capacity of their upstream.
	ColdOverloads []standin.LedgerLine
	// DataCentres maps each upstream to its data centre.
	DataCentres map[string]string
	// Complete is set if the run was not interrupted and all callers have stopped.
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

// addInjected adds a fault or, when it ends, replaces the entry of its beginning.
func (h *History) addInjected(i *InjectedFault) {
	for j := range h.Injected {
		if h.Injected[j].Index == i.Index {
			h.Injected[j] = *i
			return
		}
	}
	h.Injected = append(h.Injected, *i)
}

// executionsByID groups the executions by request id.
func (h *History) executionsByID() map[string][]Execution {
	executions := map[string][]Execution{}
	for _, e := range h.Executions {
		executions[e.RequestID] = append(executions[e.RequestID], e)
	}
	return executions
}
