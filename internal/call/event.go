package call

import "endivespring/internal/event"

// Event is an event to be logged. The cores return events instead of
// logging them, so that they stay free of side effects.
type Event struct {
	Event  *event.Definition
	Fields []event.Field
}

// NewEvent returns an event with the definition and the fields of an event.
func NewEvent(definition *event.Definition, fields ...event.Field) Event {
	return Event{Event: definition, Fields: fields}
}
