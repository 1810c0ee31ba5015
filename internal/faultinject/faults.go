package faultinject

import "endivespring/internal/settings"

// Faults holds the current faults of a process's clock and disk. It is the content of
// a fault file.
type Faults struct {
	// SyncDelay is added to each sync.
	SyncDelay settings.Duration `json:"syncDelay" default:"0s" min:"0s" max:"1m" doc:"Added to each durable write."`
	// FailWrites makes every write fail, as on a full disk.
	FailWrites bool `json:"failWrites" doc:"Every write fails, as on a full disk."`
	// ClockRate is the speed of the clock in relation to its base clock.
	ClockRate float64 `json:"clockRate" default:"1" min:"0.5" max:"2" doc:"Speed of the clock; 1 is normal speed."`
}
