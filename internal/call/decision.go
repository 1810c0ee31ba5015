package call

import "endivespring/internal/event"

// Decision is an event that a core wants logged.
type Decision struct {
	Event  *event.Definition
	Fields []event.Field
}

// Decide returns a decision.
func Decide(definition *event.Definition, fields ...event.Field) Decision {
	return Decision{Event: definition, Fields: fields}
}
