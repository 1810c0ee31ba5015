package event

// Recorder accepts events. Record never blocks.
type Recorder interface {
	// Record appends an occurrence of the event; the fields must not change
	// afterwards.
	Record(definition *Definition, fields ...Field)
}
