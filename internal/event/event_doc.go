package event

// eventDoc documents an event beyond its meaning.
type eventDoc struct {
	// fields are the names of the event's fields.
	fields []string
	// action is what an operator should do about a warning or alarm.
	action string
}
