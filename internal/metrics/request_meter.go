package metrics

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

const (
	latencySample = 1028 // observations kept for quantiles
	// mostOutcomes bounds the counters, each of which is copied when one is added
	// and written at each scrape: 64 KB of text.
	mostOutcomes = 512
	latencyDecay = 0.015 // weight of the last five minutes against older ones
)

// RequestMeter counts callers' requests. Any number of goroutines may use it;
// counting takes no lock.
type RequestMeter struct {
	registry *Registry
	latency  gometrics.Histogram
	counters atomic.Pointer[map[outcome]gometrics.Counter]
}

// NewRequestMeter returns a meter without observations.
func NewRequestMeter(r *Registry) *RequestMeter {
	m := &RequestMeter{registry: r, latency: gometrics.NewHistogram(gometrics.NewExpDecaySample(latencySample, latencyDecay))}
	m.counters.Store(&map[outcome]gometrics.Counter{})
	_ = r.metrics.Register(RequestLatency.Name, m.latency)
	return m
}

// Observe counts an answer and how long it took.
func (m *RequestMeter) Observe(answer *call.Answer, took time.Duration) {
	m.counter(outcomeOf(answer)).Inc(1)
	m.latency.Update(took.Microseconds())
}

// counter returns the counter of an outcome. A new one goes into a copy of the
// map, so that readers need no lock.
func (m *RequestMeter) counter(o outcome) gometrics.Counter {
	for {
		present := m.counters.Load()
		if counter, ok := (*present)[o]; ok {
			return counter
		}
		if len(*present) >= mostOutcomes && o != o.merged() {
			return m.counter(o.merged())
		}
		grown := make(map[outcome]gometrics.Counter, len(*present)+1)
		for key, counter := range *present {
			grown[key] = counter
		}
		name := series(Requests, label{"verdict", o.verdict.String()}, label{"reason", string(o.reason)},
			label{"service", o.service}, label{"route", o.route})
		grown[o] = gometrics.GetOrRegisterCounter(name, m.registry.metrics)
		m.counters.CompareAndSwap(present, &grown)
	}
}
