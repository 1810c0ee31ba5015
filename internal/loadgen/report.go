package loadgen

// Report is the result of a run.
type Report struct {
	Mix        string         `json:"mix"`
	Seed       uint64         `json:"seed"`
	Rate       float64        `json:"rate"`
	Keys       int            `json:"keys"`
	Zipf       float64        `json:"zipf"`
	Seconds    float64        `json:"seconds"`
	Sent       int64          `json:"sent"`
	Verdicts   map[string]int `json:"verdicts"`
	Reasons    map[string]int `json:"reasons"`
	Mismatched int            `json:"mismatched"`
	// Resent counts requests sent a second time; they are in no other figure
	// but ResendVerdicts.
	Resent         int            `json:"resent"`
	ResendVerdicts map[string]int `json:"resendVerdicts"`
	Latency
	// LateSends is the number of requests that were sent more than LateSendMs
	// after they were due, because all workers were busy or the machine was.
	LateSends    int               `json:"lateSends"`
	MaxSendDelay float64           `json:"maxBehindMs"`
	Operations   []OperationReport `json:"operations"`
	// Upstreams counts the requests that each upstream ran.
	Upstreams map[string]int   `json:"upstreams"`
	Timeline  []TimelineSecond `json:"timeline"`
}
