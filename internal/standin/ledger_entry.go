package standin

import "endivespring/internal/ring"

// ledgerEntry is a line for the ledger and what is sent once it is written.
type ledgerEntry struct {
	line LedgerLine
	// reply receives answer after the line was written. It is nil if the request is not
	// answered yet.
	reply  *ring.Reply[result]
	answer result
}
