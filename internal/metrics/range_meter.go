package metrics

import gometrics "github.com/rcrowley/go-metrics"

// RangeMeter counts requests to the upstream about its key ranges. The methods of a nil
// meter do nothing. It is safe for concurrent use.
type RangeMeter struct{ registry *Registry }

// NewRangeMeter returns a meter. Counters are registered with their first request.
func NewRangeMeter(r *Registry) *RangeMeter { return &RangeMeter{registry: r} }

// Observe counts a request by its kind and result.
func (m *RangeMeter) Observe(kind, result string) {
	if m == nil {
		return
	}
	name := series(RangeRequests, label{"kind", kind}, label{"result", result})
	gometrics.GetOrRegisterCounter(name, m.registry.metrics).Inc(1)
}
