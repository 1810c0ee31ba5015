package admission

// Outcome is how a run at the upstream ended, as far as admission cares.
type Outcome uint8

const (
	// Good is a whole answer.
	Good Outcome = iota
	// Neutral is a run that says nothing of the upstream: never handed over,
	// fenced or cancelled.
	Neutral
	// Shed is a refusal by the upstream because of its load.
	Shed
	// TimedOut is a run without an answer at its deadline.
	TimedOut
	// Failed is a reset or refused connection or a broken answer: the upstream
	// may have started anew.
	Failed
)
