package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/standin"
)

// at returns an instant by milliseconds from the start of a constructed history.
func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

func execution(id, upstream, key string, epoch uint64, from, to int) Execution {
	line := standin.LedgerLine{RequestID: id, Operation: reserve, Upstream: upstream, Key: key, Shard: "1", Epoch: epoch, UnixNanos: at(from).UnixNano()}
	return Execution{LedgerLine: line, From: at(from), To: at(to)}
}

func newSend(id, router, verdict string, ms int) Send {
	return Send{ID: id, Router: router, Operation: reserve, Attempt: 1, At: at(ms), Ended: at(ms + 10), Verdict: verdict, Final: true}
}

func newInjected(kind Kind, target string, from, to int) InjectedFault {
	return InjectedFault{Fault: Fault{Kind: kind, Target: target}, Begun: at(from), Ended: at(to)}
}

// validHistory returns a history without violations.
func validHistory() *History {
	return &History{
		Plan: &Plan{Routers: 2}, Start: at(0), Complete: true, DataCentres: map[string]string{"upstream-1": "dc-1", "upstream-2": "dc-2"},
		Sends: []Send{
			newSend("a", "router-1", "ran", 100), newSend("b", "router-2", "ran", 200), newSend("c", "router-1", "not-run", 300), newSend("d", "router-1", "ran", 9000),
		},
		Executions: []Execution{
			execution("a", "upstream-1", "k", 1, 102, 107), execution("b", "upstream-2", "k", 2, 202, 207), execution("d", "upstream-2", "k", 2, 9002, 9007),
		},
		Commands:    []Command{{Kind: ChangePreset, Target: "peak", At: at(50), Acked: at(60), Version: 3}},
		PresetReads: []PresetRead{{At: at(40), Version: 2}, {At: at(70), Version: 3}},
		Injected:    []InjectedFault{newInjected(Terminate, "router-2", 400, 600)},
	}
}

func TestValidHistoryHasNoViolations(t *testing.T) {
	assert.Equal(t, len(checkInvariants(validHistory())), 0)
}

// TestEachViolationIsFound guards against checks that find nothing: it violates one
// invariant at a time, and only that one must be reported.
func TestEachViolationIsFound(t *testing.T) {
	violating := map[string]func(h *History){
		"at-most-once":    func(h *History) { h.Executions = append(h.Executions, execution("a", "upstream-1", "", 1, 120, 125)) },
		"own-answers":     func(h *History) { h.Sends[0].Mismatched = true },
		"true-refusals":   func(h *History) { h.Executions = append(h.Executions, execution("c", "upstream-1", "", 1, 302, 307)) },
		"true-answers":    func(h *History) { h.Executions = h.Executions[1:] },
		"one-owner":       func(h *History) { h.Executions[0].To = at(204) },
		"epochs-rise":     func(h *History) { h.Executions[0].Epoch = 3 },
		"cold-upstreams":  func(h *History) { h.ColdOverloads = []standin.LedgerLine{{Upstream: "upstream-1"}} },
		"changes-last":    func(h *History) { h.PresetReads[1].Version = 2 },
		"changes-kept":    func(h *History) { h.PresetReads = h.PresetReads[:1] },
		"grace-period":    func(h *History) { h.Injected[0].Overdue = true },
		"recovery":        func(h *History) { h.Sends[3].Verdict = "may-have-run" },
		"data-centre-out": func(h *History) { takeOut(h, "dc-2") },
		"graceful-stop": func(h *History) {
			h.Sends[1].At, h.Sends[1].Ended, h.Sends[1].ConnectionLost = at(390), at(410), true
			h.Executions[1].From = at(395)
		},
		"retry-budget": func(h *History) {
			for i := range 100 {
				repeated := execution("a", "upstream-1", "", 1, 1000+10*i, 1005+10*i)
				repeated.Operation = lookup
				h.Executions = append(h.Executions, repeated)
			}
			h.Executions[0].Operation = lookup
		},
	}
	assert.Equal(t, len(violating), len(invariants))
	for name, violate := range violating {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			violate(h)
			violations := checkInvariants(h)
			assert.Assert(t, len(violations) > 0, "no violation found")
			for _, v := range violations {
				assert.Equal(t, v.Invariant, name, v.Detail)
			}
		})
	}
}

// takeOut takes a data centre out of service before the last execution there.
func takeOut(h *History, centre string) {
	h.Commands = append(h.Commands,
		Command{Kind: TakeOutDataCentre, Target: centre, Out: true, At: at(3000), Acked: at(3010), InForce: at(3020), Version: 4},
		Command{Kind: TakeOutDataCentre, Target: centre, At: at(9500), Acked: at(9510), Version: 5})
}

// TestAcceptedHistories guards against false positives: none of these histories
// violates an invariant, though each resembles a violation.
func TestAcceptedHistories(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"a frozen upstream ends its execution late": func(h *History) {
			h.Executions[0].To = at(204)
			h.Injected = append(h.Injected, newInjected(Freeze, "upstream-1", 104, 203))
		},
		"a request loses its connection while the path to its router is reset": func(h *History) {
			h.Sends[1].At, h.Sends[1].Ended, h.Sends[1].ConnectionLost = at(390), at(410), true
			h.Injected = append(h.Injected, newInjected(Reset, "callers>router-2", 380, 420))
		},
		"a request reaches a router that is closing and runs through another router": func(h *History) {
			h.Sends[1].At, h.Sends[1].Ended, h.Sends[1].ConnectionLost = at(390), at(410), true
			h.Executions[1].From, h.Executions[1].To = at(512), at(517)
		},
		"a request accepted before its data centre was out of service": func(h *History) {
			takeOut(h, "dc-2")
			h.Commands[1].InForce = at(8000)
		},
		"a lookup is refused after a send that may have run": func(h *History) {
			repeated := execution("c", "upstream-1", "", 1, 302, 307)
			repeated.Operation = lookup
			h.Executions = append(h.Executions, repeated)
			h.Sends[2].Operation, h.Sends[2].Attempt = lookup, 2
		},
		"a killed upstream loses the end of its ledger": func(h *History) {
			h.Executions = h.Executions[1:]
			h.Injected = append(h.Injected, newInjected(Kill, "upstream-1", 110, 120))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			change(h)
			assert.Equal(t, len(checkInvariants(h)), 0, "%v", checkInvariants(h))
		})
	}
}
