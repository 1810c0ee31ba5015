package load

// Report is the result of a run. Latencies are in milliseconds and count from
// when a request was due.
type Report struct {
	Service    string         `json:"service"`
	Operation  string         `json:"operation"`
	Seed       uint64         `json:"seed"`
	Rate       float64        `json:"rate"`
	Seconds    float64        `json:"seconds"`
	Sent       int64          `json:"sent"`
	Verdicts   map[string]int `json:"verdicts"`
	Reasons    map[string]int `json:"reasons"`
	Mismatched int            `json:"mismatched"`
	P50        float64        `json:"p50Ms"`
	P99        float64        `json:"p99Ms"`
	P999       float64        `json:"p999Ms"`
	Max        float64        `json:"maxMs"`
}
