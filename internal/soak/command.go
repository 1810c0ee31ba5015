package soak

import "time"

// Command is an operator's command, with its times and version once acknowledged.
type Command struct {
	Kind   Kind      `json:"kind"`
	Target string    `json:"target"`
	Out    bool      `json:"out,omitempty"`
	At     time.Time `json:"at"`
	Acked  time.Time `json:"acked"`
	// InForce is when a data centre was seen to be out of service on all routers;
	// zero for other commands and if that did not happen within inForceTimeout.
	InForce time.Time `json:"inForce"`
	Version uint64    `json:"version"`
}
