package soak

import "time"

// Order is an operator's command that was acknowledged.
type Command struct {
	Kind   Kind      `json:"kind"`
	Target string    `json:"target"`
	Out    bool      `json:"out,omitempty"`
	At     time.Time `json:"at"`
	Acked  time.Time `json:"acked"`
	// InForce is when the change was in force everywhere; zero if that was not
	// seen within the bound.
	InForce time.Time `json:"inForce"`
	Version uint64    `json:"version"`
}
