package soak

import (
	"fmt"

	"github.com/samber/lo"
)

// stalePresetReads finds reads that returned an older preset than one that was
// acknowledged before the read began.
func stalePresetReads(h *History) []string {
	var out []string
	for _, r := range h.PresetReads {
		for _, c := range h.Commands {
			if c.Kind == ChangePreset && c.Acked.Before(r.At) && c.Version > r.Version {
				out = append(out, fmt.Sprintf("read preset %s of version %d %s after version %d was acknowledged", r.Preset, r.Version, r.At.Sub(c.Acked), c.Version))
			}
		}
	}
	return out
}

// unreadablePreset reports a violation if no read of the preset succeeded after the
// last change was acknowledged.
func unreadablePreset(h *History) []string {
	last, ok := lo.Last(lo.Filter(h.Commands, func(c Command, _ int) bool { return c.Kind == ChangePreset }))
	read := lo.ContainsBy(h.PresetReads, func(r PresetRead) bool { return r.At.After(last.Acked) })
	if !ok || read {
		return nil
	}
	return []string{fmt.Sprintf("no read of the preset succeeded after version %d was acknowledged", last.Version)}
}
