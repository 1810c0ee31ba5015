package event

import "time"

// Entry is one occurrence of an event.
type Entry struct {
	Definition *Definition
	Time       time.Time
	Fields     []Field
}
