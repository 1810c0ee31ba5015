package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

// ExecutorMeter shows the door's load. A nil meter shows nothing.
type ExecutorMeter struct{ limit, running, queued gometrics.Gauge }

// NewExecutorMeter returns a meter at zero.
func NewExecutorMeter(r *Registry) *ExecutorMeter {
	return &ExecutorMeter{limit: r.gauge(ExecutorLimit), running: r.gauge(ExecutorRunning), queued: r.gauge(ExecutorQueued)}
}

// Set shows the present load.
func (m *ExecutorMeter) Set(load call.Load) {
	if m == nil {
		return
	}
	m.limit.Update(int64(load.Limit))
	m.running.Update(int64(load.InFlight))
	m.queued.Update(int64(load.Queued))
}
