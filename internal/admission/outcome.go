package admission

// Outcome is how a run at the upstream ended, as far as admission cares.
type Outcome uint8

const (
	// Good is a whole answer at a healthy latency.
	Good Outcome = iota
	// Shed is a refusal by the upstream because of its load.
	Shed
	// Failed is a timeout, a reset connection or a server error.
	Failed
)
