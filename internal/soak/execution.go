package soak

import (
	"time"

	"endivespring/internal/standin"
)

// Execution is one execution of a request at an upstream, from the upstream's ledger.
type Execution struct {
	standin.LedgerLine
	From time.Time
	// To is when it ended; zero if the ledger has no end for it.
	To time.Time
}
