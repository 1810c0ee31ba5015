package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

// ExecutorMeter exports the load of the executor. The methods of a nil meter do
// nothing.
type ExecutorMeter struct{ limit, running, queued gometrics.Gauge }

// NewExecutorMeter returns a meter whose gauges are registered and zero.
func NewExecutorMeter(r *Registry) *ExecutorMeter {
	return &ExecutorMeter{limit: r.gauge(ExecutorLimit), running: r.gauge(ExecutorRunning), queued: r.gauge(ExecutorQueued)}
}

// Set sets the gauges to load.
func (m *ExecutorMeter) Set(load call.Load) {
	if m == nil {
		return
	}
	m.limit.Update(int64(load.Limit))
	m.running.Update(int64(load.InFlight))
	m.queued.Update(int64(load.Queued))
}
