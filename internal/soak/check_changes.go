package soak

import (
	"fmt"

	"github.com/samber/lo"
)

// revertedChanges finds readings of an older preset than one acknowledged
// before the reading was asked for.
func revertedChanges(h *History) []string {
	var out []string
	for _, r := range h.Readings {
		for _, o := range h.Orders {
			if o.Kind == Change && o.Acked.Before(r.At) && o.Version > r.Version {
				out = append(out, fmt.Sprintf("preset %s of version %d was read %s after version %d was acknowledged", r.Preset, r.Version, r.At.Sub(o.Acked), o.Version))
			}
		}
	}
	return out
}

// lostChanges finds whether the preset could not be read after the last change.
func lostChanges(h *History) []string {
	last, ok := lo.Last(lo.Filter(h.Orders, func(o Order, _ int) bool { return o.Kind == Change }))
	read := lo.ContainsBy(h.Readings, func(r Reading) bool { return r.At.After(last.Acked) })
	if !ok || read {
		return nil
	}
	return []string{fmt.Sprintf("no preset could be read after version %d", last.Version)}
}
