package metrics

import (
	"math"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

// ExecutorMeter exports the load of the executor. The methods of a nil meter do
// nothing.
type ExecutorMeter struct {
	registry                                        *Registry
	limit, running, queued, wait, learned, slowdown gometrics.Gauge
	// operations has the labels of the operations whose gauges are not zero, with whether they
	// were set since the last ZeroVanished.
	operations map[[2]label]bool
}

// NewExecutorMeter returns a meter whose gauges are registered and zero.
func NewExecutorMeter(r *Registry) *ExecutorMeter {
	return &ExecutorMeter{
		registry: r, operations: map[[2]label]bool{}, limit: r.gauge(ExecutorLimit), running: r.gauge(ExecutorRunning), queued: r.gauge(ExecutorQueued), wait: r.gauge(ExecutorWait),
		learned: r.gauge(ExecutorLearnedLimit), slowdown: r.gauge(ExecutorSlowdown),
	}
}

// Set sets the gauges to load.
func (m *ExecutorMeter) Set(load call.Load) {
	if m == nil {
		return
	}
	m.limit.Update(int64(load.Limit))
	m.running.Update(int64(load.InFlight))
	m.queued.Update(int64(load.Queued))
	m.wait.Update(load.Wait.Milliseconds())
	m.slowdown.Update(int64(math.Round(100 * load.Slowdown)))
}

// SetLearned sets the gauge of the learned limit.
func (m *ExecutorMeter) SetLearned(limit int) {
	if m != nil {
		m.learned.Update(int64(limit))
	}
}

// Refused counts a request that was refused for lack of capacity.
func (m *ExecutorMeter) Refused(why string) {
	if m == nil {
		return
	}
	gometrics.GetOrRegisterCounter(series(ExecutorRefused, label{"why", why}), m.registry.metrics).Inc(1)
}

// SetOperation sets the gauges of an operation; asked and given are shares.
func (m *ExecutorMeter) SetOperation(operation string, nested bool, queued int, asked, given float64) {
	if m == nil {
		return
	}
	labels := [2]label{{"operation", operation}, {"nested", strconv.FormatBool(nested)}}
	m.operations[labels] = true
	m.updateOperation(labels, int64(queued), int64(100*asked), int64(100*given))
}

// ZeroVanished sets the gauges of operations to zero that were not set since it was last
// called.
func (m *ExecutorMeter) ZeroVanished() {
	if m == nil {
		return
	}
	for labels, set := range m.operations {
		if set {
			m.operations[labels] = false
			continue
		}
		delete(m.operations, labels)
		m.updateOperation(labels, 0, 0, 0)
	}
}

func (m *ExecutorMeter) updateOperation(labels [2]label, queued, asked, given int64) {
	update := func(f *Family, value int64) {
		gometrics.GetOrRegisterGauge(series(f, labels[:]...), m.registry.metrics).Update(value)
	}
	update(OperationQueued, queued)
	update(OperationAsked, asked)
	update(OperationGiven, given)
}
