package executor

// RangeResult is what is known of a RangeRequest after the wait for its answer.
type RangeResult uint8

const (
	// RangeUnanswered means that no whole answer came: the request may have been
	// applied, or be applied later.
	RangeUnanswered RangeResult = iota
	// RangeApplied means that the upstream confirmed the request.
	RangeApplied
	// RangeNotSent means that no byte of the request reached the upstream.
	RangeNotSent
	// RangeFenced means that the upstream refused a grant because it has seen a
	// higher epoch on one of the keys.
	RangeFenced
	// RangeRefused means that the upstream refused the request for another reason.
	RangeRefused
)

var rangeResultNames = [...]string{"unanswered", "applied", "not-sent", "fenced", "refused"}

// String returns the result's name in logs and metrics.
func (r RangeResult) String() string { return rangeResultNames[r] }
