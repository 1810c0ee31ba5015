package caller

import (
	"time"

	"endivespring/internal/call"
)

// Observer is called with each answer and its latency. It must be safe for
// concurrent use.
type Observer func(answer *call.Answer, took time.Duration)
