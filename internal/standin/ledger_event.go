package standin

// LedgerEvent is what a line of the ledger says of a request.
type LedgerEvent string

// The events of the ledger. Each run has one LedgerStarted.
const (
	LedgerStarted   LedgerEvent = "started"
	LedgerFinished  LedgerEvent = "finished"
	LedgerCancelled LedgerEvent = "cancelled"
	// LedgerOverloaded is a request beyond what the stand-in bears; it fails
	// without a run.
	LedgerOverloaded LedgerEvent = "overloaded"
	// LedgerFenced is a request with a stale epoch or an expired grant.
	LedgerFenced LedgerEvent = "fenced"
)
