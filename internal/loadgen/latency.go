package loadgen

// Latency holds quantiles of latencies in milliseconds, measured from the time
// at which each request was due.
type Latency struct {
	P50  float64 `json:"p50Ms"`
	P99  float64 `json:"p99Ms"`
	P999 float64 `json:"p999Ms"`
	Max  float64 `json:"maxMs"`
}
