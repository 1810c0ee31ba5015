package standin

// LedgerSuffix ends the names of ledger files.
const LedgerSuffix = ".ledger"

// LedgerLine is one line of the ledger.
type LedgerLine struct {
	Event     LedgerEvent `json:"event"`
	RequestID string      `json:"requestId"`
	Operation string      `json:"operation"`
	Key       string      `json:"key,omitempty"`
	Shard     string      `json:"shard,omitempty"`
	Epoch     uint64      `json:"epoch,omitempty"`
	Upstream  string      `json:"upstream"`
	// Running is the number of requests under way after the event, and Peak
	// the largest seen since the start.
	InFlight     int `json:"running"`
	PeakInFlight int `json:"peak"`
	// Bears is what the stand-in bears at the time.
	Capacity int `json:"bears"`
	// At is the wall clock in nanoseconds since 1970.
	At int64 `json:"at"`
}
