package metrics

import (
	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

// DoorMeter shows the door's load. A nil meter shows nothing.
type DoorMeter struct{ limit, running, queued gometrics.Gauge }

// NewDoorMeter returns a meter at zero.
func NewDoorMeter(r *Registry) *DoorMeter {
	return &DoorMeter{limit: r.gauge(DoorLimit), running: r.gauge(DoorRunning), queued: r.gauge(DoorQueued)}
}

// Set shows the present load.
func (m *DoorMeter) Set(load call.Load) {
	if m == nil {
		return
	}
	m.limit.Update(int64(load.Limit))
	m.running.Update(int64(load.InFlight))
	m.queued.Update(int64(load.Queued))
}
