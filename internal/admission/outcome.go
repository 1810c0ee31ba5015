package admission

// Outcome classifies the end of a run by what it says about the upstream's
// health.
type Outcome uint8

const (
	// Good is a complete answer.
	Good Outcome = iota
	// Neutral says nothing about the upstream: the run was not handed over, was
	// fenced or was cancelled.
	Neutral
	// Shed is a refusal by the upstream because of overload.
	Shed
	// TimedOut is a run without an answer at its deadline.
	TimedOut
	// Failed is a reset or refused connection or a broken answer. The upstream
	// may have restarted.
	Failed
)
