package metrics

// Kind is the type of a metric family in the text format.
type Kind string

const (
	// Counter never decreases while the process runs.
	Counter Kind = "counter"
	// Gauge may increase and decrease.
	Gauge Kind = "gauge"
	// Summary has quantiles over recent observations.
	Summary Kind = "summary"
)
