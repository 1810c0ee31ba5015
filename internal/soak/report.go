package soak

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endivespring/internal/verdict"
)

const (
	maxLatencyMicros = int64(time.Minute / time.Microsecond) // above every deadline in the soak
	histogramDigits  = 3                                     // significant decimal digits
)

// Report is the result of a run. Requests are counted by their final answer: Served
// ran, Refused did not run, Unknown may have run.
type Report struct {
	Plan        *Plan          `json:"plan"`
	Start       time.Time      `json:"start"`
	Folder      string         `json:"folder"`
	Sent        int            `json:"sent"`
	Served      int            `json:"served"`
	Refused     int            `json:"refused"`
	Unknown     int            `json:"unknown"`
	Executions  int            `json:"runs"`
	Commands    int            `json:"orders"`
	PresetReads int            `json:"reads"`
	Faults      map[string]int `json:"faults"`
	// P50, P99 and Max are the latencies of served requests in milliseconds, from the
	// first send to the answer.
	P50        float64         `json:"p50Ms"`
	P99        float64         `json:"p99Ms"`
	Max        float64         `json:"maxMs"`
	Violations []Violation     `json:"violations"`
	Seconds    []SecondCounts  `json:"seconds"`
	Injected   []InjectedFault `json:"injected"`
}

func newReport(h *History, folder string, violations []Violation) *Report {
	r := &Report{
		Plan: h.Plan, Start: h.Start, Folder: folder, Executions: len(h.Executions), Commands: len(h.Commands), PresetReads: len(h.PresetReads), Faults: map[string]int{},
		Violations: violations, Injected: h.Injected,
	}
	for _, i := range h.Injected {
		r.Faults[string(i.Kind)]++
	}
	latencies := hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
	first := map[string]time.Time{}
	for i := range h.Sends {
		s := &h.Sends[i]
		if _, ok := first[s.ID]; !ok {
			first[s.ID] = s.At
		}
		if s.Final {
			r.add(s, first[s.ID].Sub(h.Start))
		}
		if s.Verdict == verdict.Ran.String() {
			_ = latencies.RecordValue(min(maxLatencyMicros, s.Ended.Sub(first[s.ID]).Microseconds())) // cannot fail: capped to the histogram's range
		}
	}
	r.P50, r.P99, r.Max = milliseconds(latencies.ValueAtQuantile(50)), milliseconds(latencies.ValueAtQuantile(99)), milliseconds(latencies.Max())
	return r
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

// add counts a request by its final answer, in the second of its first send.
func (r *Report) add(s *Send, at time.Duration) {
	second := max(0, int(at/time.Second))
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, SecondCounts{})
	}
	count := &r.Seconds[second]
	r.Sent++
	count.Sent++
	switch s.Verdict {
	case verdict.Ran.String():
		r.Served++
		count.Served++
	case verdict.NotRun.String():
		r.Refused++
		count.Refused++
	default:
		r.Unknown++
		count.Unknown++
	}
}
