package loadgen

// Latency describes latencies in milliseconds, counted from when a request was
// due.
type Latency struct {
	P50  float64 `json:"p50Ms"`
	P99  float64 `json:"p99Ms"`
	P999 float64 `json:"p999Ms"`
	Max  float64 `json:"maxMs"`
}
