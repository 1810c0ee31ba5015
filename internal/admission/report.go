package admission

const (
	// MinSlowdown and MaxSlowdown bound the slowdown that an upstream can state. A value
	// outside them is taken for an error.
	MinSlowdown = 0.1
	MaxSlowdown = 100
)

// Report is what an upstream states about its load with a response.
type Report struct {
	// Running and Waiting are the numbers of requests that it runs and queues.
	Running int
	Waiting int
	// Slots is how many requests it runs at once.
	Slots int
	// Slowdown is the factor by which work takes longer than usual at present, or
	// zero if it is not stated.
	Slowdown float64
}
