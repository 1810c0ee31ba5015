package event

// guide documents an event beyond its meaning.
type guide struct {
	// fields are the names of the event's fields.
	fields []string
	// action is what an operator should do about a warning or alarm.
	action string
}
