package standin

import (
	"time"

	"endivespring/internal/ring"
)

// job is a request on its way to a slot.
type job struct {
	line     LedgerLine
	body     []byte
	deadline time.Time
	// reply takes exactly one result.
	reply ring.Reply[result]
}
