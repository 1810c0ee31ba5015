package verdict

import "github.com/rotisserie/eris"

// Error is the failure of a request; its verdict says whether the request may
// have run.
type Error struct {
	Verdict Verdict
	Reason  Reason
	cause   error
}

// New returns an error with a verdict, a reason and a message.
func New(v Verdict, reason Reason, message string) *Error {
	return &Error{Verdict: v, Reason: reason, cause: eris.New(message)}
}

// Error returns the reason and the message, separated by a colon.
func (e *Error) Error() string { return string(e.Reason) + ": " + e.cause.Error() }

// Unwrap returns the cause, whose text is the message alone.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict carried by err or an error that it wraps. It returns
// MayHaveRun for any other error and for nil.
func Of(err error) Verdict {
	var e *Error
	if eris.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
