package fsm

import "endivespring/internal/fleet"

// OperatorChange is an operator's command. Exactly one of Preset, Amendment,
// DataCentre and Upstream is set. A preset with a number and an amendment are accepted
// only if their base is the number of the preset in force. Any other change is accepted
// only if it is unconditional or Expected is the number of operator changes accepted
// so far. A resend has the same CommandID and Digest.
type OperatorChange struct {
	CommandID string
	// Digest is a hash of the command's content without Expected.
	Digest   uint64
	Operator string
	Expected fleet.Version
	// Unconditional is set if Expected is not checked.
	Unconditional bool
	Preset        *fleet.Preset
	Amendment     *Amendment
	DataCentre    *fleet.DataCentreSetting
	Upstream      *fleet.UpstreamSetting
}

// PresetNumbers returns the number and the base of the preset or amendment. Both are
// zero for other commands.
func (c *OperatorChange) PresetNumbers() (number, base uint64) {
	switch {
	case c.Preset != nil:
		return c.Preset.Number, c.Preset.Base
	case c.Amendment != nil:
		return c.Amendment.Number, c.Amendment.Base
	default:
		return 0, 0
	}
}
