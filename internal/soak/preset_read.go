package soak

import "time"

// PresetRead is the result of one read of the preset in force. At is when the read
// began.
type PresetRead struct {
	At      time.Time `json:"at"`
	Version uint64    `json:"version"`
	Preset  string    `json:"preset"`
}
