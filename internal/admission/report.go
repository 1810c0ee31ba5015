package admission

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
