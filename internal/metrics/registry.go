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

// NewRegistry returns a registry with the figures of the runtime and of the
// event log.
func NewRegistry(events *event.Log) *Registry {
	r := &Registry{metrics: gometrics.NewRegistry()}
	r.read(Goroutines, func() int64 { return int64(runtime.NumGoroutine()) })
	r.read(HeapBytes, func() int64 { return readRuntime("/memory/classes/heap/objects:bytes") })
	r.read(RuntimeBytes, func() int64 { return readRuntime("/memory/classes/total:bytes") })
	r.read(EventsDropped, events.Dropped)
	for _, definition := range event.Catalogue() {
		r.read(Events, func() int64 { return events.Count(definition) },
			label{"event", strconv.Itoa(definition.Number)}, label{"name", definition.Name})
	}
	return r
}

// Rings adds the figures of rings under their names; a ring replaces an earlier
// one of its name. A nil registry takes nothing.
func (r *Registry) Rings(rings ...RingFigures) {
	if r == nil {
		return
	}
	for _, ring := range rings {
		name := label{"ring", ring.Name()}
		r.read(RingDepth, func() int64 { return int64(ring.Depth()) }, name)
		r.read(RingCapacity, func() int64 { return int64(ring.Capacity()) }, name)
		r.read(RingRefused, ring.Refused, name)
		r.read(RingDropped, ring.Dropped, name)
	}
}

// read adds a metric whose value is read when it is served. A metric that is
// there already is replaced.
func (r *Registry) read(f *Family, value func() int64, labels ...label) {
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
