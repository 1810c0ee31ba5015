package operator

import (
	"endivespring/internal/fleet"
	"endivespring/internal/preset"
)

// PresetBody is the JSON body that describes the preset in force.
type PresetBody struct {
	// Version is the config version that introduced the preset; 0 without one.
	Version fleet.Version `json:"version"`
	// Preset is nil if none is in force.
	Preset *preset.File `json:"preset"`
}

func presetBody(p *fleet.Preset) PresetBody {
	if p == nil {
		return PresetBody{}
	}
	return PresetBody{Version: p.Version, Preset: preset.NewFile(p)}
}
