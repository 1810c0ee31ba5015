package standin

// LedgerLine is one line of the ledger.
type LedgerLine struct {
	RequestID string `json:"requestId"`
	Operation string `json:"operation"`
	Key       string `json:"key,omitempty"`
	Shard     string `json:"shard,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
	Upstream  string `json:"upstream"`
	// At is the wall clock in nanoseconds since 1970.
	At int64 `json:"at"`
}
