package soak

import (
	"time"

	"endivespring/internal/standin"
)

// Run is one run of a request at an upstream, from its ledger.
type Execution struct {
	standin.LedgerLine
	From time.Time
	// To is when it ended; zero if the ledger does not say.
	To time.Time
}
