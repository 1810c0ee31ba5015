package routes

import "slices"

// Upcoming returns the service that Next would return, without advancing the rotation.
func (e *Entry) Upcoming() string {
	ahead := Entry{Route: e.Route, credits: slices.Clone(e.credits)}
	return ahead.Next()
}
