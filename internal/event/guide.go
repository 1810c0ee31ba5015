package event

// guide is what the catalogue's page says of an event beyond its meaning.
type guide struct {
	// fields are the names of the event's fields.
	fields []string
	// action is what an operator does about a warning or alarm.
	action string
}
