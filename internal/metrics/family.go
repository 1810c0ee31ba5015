package metrics

// Family is a set of metrics that share a name and differ in their labels.
type Family struct {
	Name   string
	Kind   Kind
	Labels string
	// Help says what is measured, with its unit.
	Help string
}
