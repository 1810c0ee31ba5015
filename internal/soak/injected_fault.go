package soak

import "time"

// InjectedFault is a fault of a plan with the times at which it was injected.
type InjectedFault struct {
	Fault
	// Index is the fault's position in the plan.
	Index int       `json:"number"`
	Begun time.Time `json:"begun"`
	// Ended is Begun plus openEnded while the fault is active.
	Ended time.Time `json:"ended"`
	// Overdue is set if the process did not exit in time and was killed.
	Overdue bool `json:"overdue,omitempty"`
}
