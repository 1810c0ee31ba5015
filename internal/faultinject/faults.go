package faultinject

import "endivespring/internal/settings"

// Misbehaviour is what the clock and the disk of a process do wrong.
type Faults struct {
	// SyncDelay is added to each write that must be durable.
	SyncDelay settings.Duration `json:"syncDelay" default:"0s" min:"0s" max:"1m" doc:"Added to each durable write."`
	// FailWrites makes every write fail, as on a full disk.
	FailWrites bool `json:"failWrites" doc:"Every write fails, as on a full disk."`
	// ClockRate is how fast the clock runs.
	ClockRate float64 `json:"clockRate" default:"1" min:"0.5" max:"2" doc:"Speed of the clock; 1 is right."`
}
