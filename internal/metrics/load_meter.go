package metrics

import gometrics "github.com/rcrowley/go-metrics"

// LoadMeter counts load reports and the decisions that the gateway bases on them. The
// methods of a nil meter do nothing. It is safe for concurrent use.
type LoadMeter struct{ sent, received, dropped, refused, overflow gometrics.Counter }

// NewLoadMeter returns a meter whose counters are registered and zero.
func NewLoadMeter(r *Registry) *LoadMeter {
	counter := func(f *Family, labels ...label) gometrics.Counter {
		return gometrics.GetOrRegisterCounter(series(f, labels...), r.metrics)
	}
	return &LoadMeter{
		sent: counter(LoadReports, label{"result", "sent"}), received: counter(LoadReports, label{"result", "received"}),
		dropped: counter(LoadReports, label{"result", "dropped"}), refused: counter(RefusedHere), overflow: counter(Overflow),
	}
}

// CountSent counts a report that was queued for a gateway, or dropped.
func (m *LoadMeter) CountSent(queued bool) {
	switch {
	case m == nil:
	case queued:
		m.sent.Inc(1)
	default:
		m.dropped.Inc(1)
	}
}

// CountReceived counts a report that the gateway received.
func (m *LoadMeter) CountReceived() {
	if m != nil {
		m.received.Inc(1)
	}
}

// CountDecisions adds requests refused without a try, and calls sent to another data
// centre because of the load of the own one.
func (m *LoadMeter) CountDecisions(refused, overflow int64) {
	if m != nil {
		m.refused.Inc(refused)
		m.overflow.Inc(overflow)
	}
}
