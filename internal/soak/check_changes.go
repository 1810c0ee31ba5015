package soak

import (
	"fmt"

	"github.com/samber/lo"
)

// revertedChanges finds readings of an older preset than one acknowledged
// before the reading was asked for.
func stalePresetReads(h *History) []string {
	var out []string
	for _, r := range h.PresetReads {
		for _, c := range h.Commands {
			if c.Kind == ChangePreset && c.Acked.Before(r.At) && c.Version > r.Version {
				out = append(out, fmt.Sprintf("preset %s of version %d was read %s after version %d was acknowledged", r.Preset, r.Version, r.At.Sub(c.Acked), c.Version))
			}
		}
	}
	return out
}

// lostChanges finds whether the preset could not be read after the last change.
func unreadablePreset(h *History) []string {
	last, ok := lo.Last(lo.Filter(h.Commands, func(c Command, _ int) bool { return c.Kind == ChangePreset }))
	read := lo.ContainsBy(h.PresetReads, func(r PresetRead) bool { return r.At.After(last.Acked) })
	if !ok || read {
		return nil
	}
	return []string{fmt.Sprintf("no preset could be read after version %d", last.Version)}
}
