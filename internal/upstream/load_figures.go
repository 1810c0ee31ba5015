package upstream

import (
	"bytes"
	"strconv"

	"endivespring/internal/admission"
)

const (
	// maxLoadFigure bounds the figures of an upstream's load. Higher ones are taken for
	// an error.
	maxLoadFigure = 100_000
	usualPercent  = 100 // the fourth figure while work takes as long as usual
)

// ParseLoad returns the report that a list of figures states, separated by commas: the
// running and waiting requests, the slots, and optionally how long work takes in percent
// of the usual time. It returns nil for an empty or invalid list. Callers need not log an
// invalid one, since it may come with every response.
func ParseLoad(rest []byte) *admission.Report {
	if len(rest) == 0 {
		return nil
	}
	var figures [4]int
	n := 0
	for more := true; more; n++ {
		if n == len(figures) {
			return nil
		}
		var text []byte
		text, rest, more = bytes.Cut(rest, []byte{','})
		figure, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 32)
		if err != nil || figure > maxLoadFigure {
			return nil
		}
		figures[n] = int(figure)
	}
	report := &admission.Report{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	switch slowdown := float64(figures[3]) / usualPercent; {
	case n < 3, report.Slots == 0:
		return nil
	case n == 3:
	case slowdown < admission.MinSlowdown || slowdown > admission.MaxSlowdown:
		return nil
	default:
		report.Slowdown = slowdown
	}
	return report
}
