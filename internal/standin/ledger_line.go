package standin

// LedgerSuffix is the file name suffix of ledgers.
const LedgerSuffix = ".ledger"

// LedgerLine is one line of the ledger, written as JSON.
type LedgerLine struct {
	Event     LedgerEvent `json:"event"`
	RequestID string      `json:"requestId"`
	Operation string      `json:"operation"`
	Key       string      `json:"key,omitempty"`
	Shard     string      `json:"shard,omitempty"`
	Epoch     uint64      `json:"epoch,omitempty"`
	Upstream  string      `json:"upstream"`
	// InFlight is the number of requests in progress after the event, and
	// PeakInFlight the highest number since the start.
	InFlight     int `json:"running"`
	PeakInFlight int `json:"peak"`
	// Capacity is the number of concurrent requests that the stand-in accepts at the
	// time of the event.
	Capacity int `json:"bears"`
	// UnixNanos is the time of the event in nanoseconds since the Unix epoch.
	UnixNanos int64 `json:"at"`
}
