package caller

import (
	"time"

	"endivespring/internal/call"
)

// Observer is shown each answer and how long it took. Many goroutines call it.
type Observer func(answer *call.Answer, took time.Duration)
