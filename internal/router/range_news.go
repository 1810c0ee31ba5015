package router

import (
	"time"

	"endivespring/internal/session"
)

// rangeNews is what the door tells control of ranges of keys.
type rangeNews struct {
	reports []session.RangeReport
	loads   []session.KeyLoad
	runTime time.Duration
}
