package loadgen

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivespring/internal/verdict"
)

const (
	highestLatency = int64(2 * time.Minute / time.Microsecond) // microseconds; longer ones are recorded as this
	precision      = 3                                         // significant digits of the histogram
	// LateSendThreshold is the delay beyond which a request counts as sent late.
	LateSendThreshold = 5 * time.Millisecond
)

// recorder aggregates results into a report.
type recorder struct {
	start      time.Time
	report     *Report
	total      *hdrhistogram.Histogram
	operations []*hdrhistogram.Histogram
}

func newRecorder(s *Settings, start time.Time) *recorder {
	r := &recorder{start: start, total: newHistogram(), report: &Report{
		Mix: mixName(s.Mix), Seed: s.Seed, Rate: s.Rate, Keys: s.Keys, Zipf: s.Zipf,
		Verdicts: map[string]int{}, Reasons: map[string]int{}, ResendVerdicts: map[string]int{}, Upstreams: map[string]int{},
	}}
	for _, o := range s.Mix {
		r.operations = append(r.operations, newHistogram())
		r.report.Operations = append(r.report.Operations, OperationReport{Operation: o.String(), Verdicts: map[string]int{}, Reasons: map[string]int{}})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestLatency, precision) }

func mixName(mix []Operation) string {
	name := ""
	for i, o := range mix {
		if i > 0 {
			name += ","
		}
		name += o.String()
	}
	return name
}

func (r *recorder) add(outcome *result) {
	report := r.report
	if outcome.mismatched {
		report.Mismatched++
	}
	if outcome.resend {
		report.Resent++
		report.ResendVerdicts[outcome.verdict]++
		return
	}
	operation := &report.Operations[outcome.operation]
	report.Sent++
	operation.Sent++
	report.Verdicts[outcome.verdict]++
	operation.Verdicts[outcome.verdict]++
	if outcome.reason != "" {
		report.Reasons[outcome.reason]++
		operation.Reasons[outcome.reason]++
	}
	if outcome.upstream != "" {
		report.Upstreams[outcome.upstream]++
	}
	latency := min(highestLatency, max(1, outcome.latency.Microseconds()))
	_ = r.total.RecordValue(latency)
	_ = r.operations[outcome.operation].RecordValue(latency)
	report.MaxSendDelay = max(report.MaxSendDelay, float64(outcome.sendDelay.Microseconds())/1000)
	if outcome.sendDelay > LateSendThreshold {
		report.LateSends++
	}
	r.addSecond(outcome)
}

// addSecond counts a result in the second in which its request was due.
func (r *recorder) addSecond(outcome *result) {
	second := max(0, int(outcome.due.Sub(r.start)/time.Second))
	for len(r.report.Timeline) <= second {
		r.report.Timeline = append(r.report.Timeline, TimelineSecond{})
	}
	r.report.Timeline[second].Sent++
	if outcome.verdict == verdict.Ran.String() {
		r.report.Timeline[second].Ran++
	}
}

func (r *recorder) finish() *Report {
	r.report.Seconds = time.Since(r.start).Seconds()
	r.report.Latency = latencyOf(r.total)
	for i, histogram := range r.operations {
		r.report.Operations[i].Latency = latencyOf(histogram)
	}
	return r.report
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: quantile(50), P99: quantile(99), P999: quantile(99.9), Max: float64(h.Max()) / 1000}
}
