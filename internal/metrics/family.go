package metrics

// Family is a group of metrics with one name and different labels.
type Family struct {
	Name   string
	Kind   Kind
	Labels string
	// Meaning says what is counted, with its unit.
	Meaning string
}
