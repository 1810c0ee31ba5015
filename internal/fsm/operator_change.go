package fsm

import "endivespring/internal/fleet"

// OperatorChange is an operator's command. Exactly one of Preset, Amendment,
// DataCentre and Upstream is set. A preset with a number, or an amendment, is
// accepted only on top of the preset whose number is its base; another change
// only if Expected is the number of operator changes accepted so far, or if it
// is unconditional. A resend has the same CommandID and Digest.
type OperatorChange struct {
	CommandID string
	// Digest stands for what the command asks for, without Expected.
	Digest   uint64
	Operator string
	Expected fleet.Version
	// Unconditional changes hold whatever was accepted before them.
	Unconditional bool
	Preset        *fleet.Preset
	Amendment     *Amendment
	DataCentre    *fleet.DataCentreSetting
	Upstream      *fleet.UpstreamSetting
}
