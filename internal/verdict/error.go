package verdict

import "github.com/rotisserie/eris"

// Error is a failure of a request together with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	cause   error
}

// New returns an error with a verdict, a reason and a message.
func New(v Verdict, reason Reason, message string) *Error {
	return &Error{Verdict: v, Reason: reason, cause: eris.New(message)}
}

// Error returns the reason and the message.
func (e *Error) Error() string { return string(e.Reason) + ": " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict carried by err: MayHaveRun if err carries none.
func Of(err error) Verdict {
	var e *Error
	if eris.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
