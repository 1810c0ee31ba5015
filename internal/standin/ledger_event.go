package standin

// LedgerEvent is the kind of event that a line of the ledger records.
type LedgerEvent string

// The events of the ledger. Each execution has exactly one LedgerStarted.
const (
	LedgerStarted   LedgerEvent = "started"
	LedgerFinished  LedgerEvent = "finished"
	LedgerCancelled LedgerEvent = "cancelled"
	// LedgerOverloaded is a request beyond the capacity while the stand-in warms up;
	// it fails without running.
	LedgerOverloaded LedgerEvent = "overloaded"
	// LedgerFenced is a request refused for a stale epoch or an expired grant.
	LedgerFenced LedgerEvent = "fenced"
)
