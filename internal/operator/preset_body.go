package operator

import (
	"endivespring/internal/fleet"
	"endivespring/internal/preset"
)

// PresetBody is the preset in force as JSON.
type PresetBody struct {
	// Version is the config version that put it in force; 0 if none is.
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
