// Package verdict states whether a request may have run at an upstream.
package verdict

// Verdict says whether a request may have run. The zero value is MayHaveRun,
// so an error that nobody classified is never taken for a safe refusal.
type Verdict uint8

const (
	// MayHaveRun means that nothing proves whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request is proved not to have run and never will.
	NotRun
	// Ran means that the request ran and its whole answer was received.
	Ran
)

// String returns the name used in headers, bodies and logs.
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

// Parse returns the verdict with the given name. An unknown name is MayHaveRun.
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

// Retryable reports whether a request with this verdict may be sent again.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (idempotent && v != Ran)
}
