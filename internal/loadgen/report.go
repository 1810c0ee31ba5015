package loadgen

// Report holds the results of a run.
type Report struct {
	Mix      string         `json:"mix"`
	Seed     uint64         `json:"seed"`
	Rate     float64        `json:"rate"`
	Keys     int            `json:"keys"`
	Zipf     float64        `json:"zipf"`
	Seconds  float64        `json:"seconds"`
	Sent     int64          `json:"sent"`
	Verdicts map[string]int `json:"verdicts"`
	Reasons  map[string]int `json:"reasons"`
	// Mismatched counts answers with the verdict ran whose body belongs to another
	// request or cannot be decoded.
	Mismatched int `json:"mismatched"`
	// Resent counts requests that were sent a second time. Apart from Mismatched
	// and ResendVerdicts, no other figure includes the resends.
	Resent         int            `json:"resent"`
	ResendVerdicts map[string]int `json:"resendVerdicts"`
	Latency
	// LateSends counts requests that were sent more than LateSendThreshold after
	// they were due, because all workers or the machine were busy.
	LateSends int `json:"lateSends"`
	// MaxSendDelay is the longest time from when a request was due until it was
	// sent, in milliseconds.
	MaxSendDelay float64           `json:"maxBehindMs"`
	Operations   []OperationReport `json:"operations"`
	// Upstreams counts the answers that name each upstream.
	Upstreams map[string]int   `json:"upstreams"`
	Timeline  []TimelineSecond `json:"timeline"`
}
