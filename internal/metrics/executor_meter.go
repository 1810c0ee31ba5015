package metrics

import (
	"math"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

// ExecutorMeter exports the load of the executor. The methods of a nil meter do
// nothing.
type ExecutorMeter struct{ limit, running, queued, learned, slowdown gometrics.Gauge }

// NewExecutorMeter returns a meter whose gauges are registered and zero.
func NewExecutorMeter(r *Registry) *ExecutorMeter {
	return &ExecutorMeter{
		limit: r.gauge(ExecutorLimit), running: r.gauge(ExecutorRunning), queued: r.gauge(ExecutorQueued),
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
	m.slowdown.Update(int64(math.Round(100 * load.Slowdown)))
}

// SetLearned sets the gauge of the learned limit.
func (m *ExecutorMeter) SetLearned(limit int) {
	if m != nil {
		m.learned.Update(int64(limit))
	}
}
