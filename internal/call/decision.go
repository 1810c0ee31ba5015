package call

import "endivespring/internal/event"

// Decision is an event to be logged. The cores return decisions instead of
// logging, so that they stay free of side effects.
type Decision struct {
	Event  *event.Definition
	Fields []event.Field
}

// Decide returns a decision with the definition and the fields of an event.
func Decide(definition *event.Definition, fields ...event.Field) Decision {
	return Decision{Event: definition, Fields: fields}
}
