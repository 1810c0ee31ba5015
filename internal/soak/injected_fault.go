package soak

import "time"

// Injected is a fault as it was carried out.
type InjectedFault struct {
	Fault
	// Number is the place in the plan.
	Index int       `json:"number"`
	Begun time.Time `json:"begun"`
	Ended time.Time `json:"ended"`
	// Overdue is set on a process that had to be killed since it did not end.
	Overdue bool `json:"overdue,omitempty"`
}
