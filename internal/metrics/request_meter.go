package metrics

import (
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"endivespring/internal/call"
)

const (
	latencySampleSize = 1028 // number of observations kept for quantiles
	// maxOutcomes bounds the number of counters. All are copied when one is added
	// and written at each scrape: 64 KB of text.
	maxOutcomes  = 512
	latencyDecay = 0.015 // exponential decay: weights the last five minutes over older observations
)

// RequestMeter counts callers' requests and measures their latency. It is safe
// for concurrent use. Counting takes no lock once the counter exists; adding to the
// latency sample takes one.
type RequestMeter struct {
	registry *Registry
	latency  gometrics.Histogram
	counters atomic.Pointer[map[outcome]gometrics.Counter]
}

// NewRequestMeter returns a meter whose latency histogram is registered. Counters
// are registered with their first request.
func NewRequestMeter(r *Registry) *RequestMeter {
	m := &RequestMeter{registry: r, latency: gometrics.NewHistogram(gometrics.NewExpDecaySample(latencySampleSize, latencyDecay))}
	m.counters.Store(&map[outcome]gometrics.Counter{})
	_ = r.metrics.Register(RequestLatency.Name, m.latency)
	return m
}

// Observe counts an answered request and records its latency.
func (m *RequestMeter) Observe(answer *call.Answer, took time.Duration) {
	m.counter(outcomeOf(answer)).Inc(1)
	m.latency.Update(took.Microseconds())
}

// counter returns the counter of an outcome. It adds a new one to a copy of the
// map (copy-on-write), so that readers need no lock.
func (m *RequestMeter) counter(o outcome) gometrics.Counter {
	for {
		current := m.counters.Load()
		if counter, ok := (*current)[o]; ok {
			return counter
		}
		if len(*current) >= maxOutcomes && o != o.aggregated() {
			return m.counter(o.aggregated())
		}
		grown := make(map[outcome]gometrics.Counter, len(*current)+1)
		for key, counter := range *current {
			grown[key] = counter
		}
		name := series(Requests, label{"verdict", o.verdict.String()}, label{"reason", string(o.reason)},
			label{"service", o.service}, label{"route", o.route})
		grown[o] = gometrics.GetOrRegisterCounter(name, m.registry.metrics)
		m.counters.CompareAndSwap(current, &grown)
	}
}
