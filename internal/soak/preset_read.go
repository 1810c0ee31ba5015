package soak

import "time"

// Reading is the preset in force as an operator read it.
type PresetRead struct {
	At      time.Time `json:"at"`
	Version uint64    `json:"version"`
	Preset  string    `json:"preset"`
}
