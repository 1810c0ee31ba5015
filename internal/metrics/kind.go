package metrics

// Kind is the type of a metric family in the text form.
type Kind string

const (
	// Counter only grows while the process runs.
	Counter Kind = "counter"
	// Gauge goes up and down.
	Gauge Kind = "gauge"
	// Summary gives quantiles of the latest observations.
	Summary Kind = "summary"
)
