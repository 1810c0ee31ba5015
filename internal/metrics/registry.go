package metrics

import (
	"runtime"
	"runtime/metrics"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/event"
)

// Registry holds the metrics of one process.
type Registry struct{ metrics gometrics.Registry }

// NewRegistry returns a registry that exports the metrics of the Go runtime and
// of the event log.
func NewRegistry(events *event.Log) *Registry {
	r := &Registry{metrics: gometrics.NewRegistry()}
	r.registerFunc(Goroutines, func() int64 { return int64(runtime.NumGoroutine()) })
	r.registerFunc(HeapBytes, func() int64 { return readRuntime("/memory/classes/heap/objects:bytes") })
	r.registerFunc(RuntimeBytes, func() int64 { return readRuntime("/memory/classes/total:bytes") })
	r.registerFunc(EventsDropped, events.Dropped)
	for _, definition := range event.Catalogue() {
		r.registerFunc(Events, func() int64 { return events.Count(definition) },
			label{"event", strconv.Itoa(definition.Number)}, label{"name", definition.Name})
	}
	return r
}

// RegisterRings exports the metrics of rings, labelled with their names. A ring replaces
// an earlier one of the same name. On a nil registry it does nothing.
func (r *Registry) RegisterRings(rings ...RingStats) {
	if r == nil {
		return
	}
	for _, ring := range rings {
		name := label{"ring", ring.Name()}
		r.registerFunc(RingDepth, func() int64 { return int64(ring.Depth()) }, name)
		r.registerFunc(RingCapacity, func() int64 { return int64(ring.Capacity()) }, name)
		r.registerFunc(RingRefused, ring.Refused, name)
		r.registerFunc(RingDropped, ring.Dropped, name)
	}
}

// registerFunc registers a metric whose value is read at each scrape. It replaces a
// metric with the same name and labels.
func (r *Registry) registerFunc(f *Family, value func() int64, labels ...label) {
	name := series(f, labels...)
	r.metrics.Unregister(name)
	_ = r.metrics.Register(name, gometrics.NewFunctionalGauge(value))
}

func (r *Registry) gauge(f *Family) gometrics.Gauge {
	return gometrics.GetOrRegisterGauge(f.Name, r.metrics)
}

func readRuntime(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
