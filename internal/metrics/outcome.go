package metrics

import "endivespring/internal/verdict"

// outcome is what requests are counted by.
type outcome struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}
