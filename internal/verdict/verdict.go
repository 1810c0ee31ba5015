// Package verdict states whether a request may have run at an upstream.
package verdict

// Verdict says whether a request may have run at an upstream. The zero value is
// MayHaveRun, so that an unclassified failure is never taken for NotRun.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run and will not run
	// later.
	NotRun
	// Ran means that the request ran and its complete answer was received.
	Ran
)

// String returns the name used in headers, message bodies and logs. An unknown
// value is may-have-run.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict with the given name, or MayHaveRun if the name is
// unknown.
func Parse(name string) Verdict {
	switch name {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Retryable reports whether a request with this verdict may be sent again: if
// it did not run, or if it is idempotent and no complete answer was received.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (idempotent && v != Ran)
}
