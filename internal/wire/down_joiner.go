package wire

import (
	"github.com/rotisserie/eris"

	"endivespring/internal/wire/wirepb"
)

// DownJoiner puts the changes that arrive in parts on one stream together. Its zero value is
// ready to use.
type DownJoiner struct {
	change []byte
	left   uint32
}

// Add takes a message. It reports whether the message is complete; its change is then whole.
func (j *DownJoiner) Add(d *wirepb.SessionDown) (complete bool, err error) {
	if len(j.change) > 0 && d.GetPartsLeft() != j.left-1 || len(j.change) == 0 && d.GetPartsLeft() > maxParts {
		return false, eris.Errorf("%d parts of a change are left where %d were expected", d.GetPartsLeft(), j.left)
	}
	j.left = d.GetPartsLeft()
	if j.left > 0 {
		j.change = append(j.change, d.GetChange()...)
		return false, nil
	}
	if len(j.change) > 0 {
		d.Change = append(j.change, d.GetChange()...)
		j.change = nil
	}
	return true, nil
}
