package control

import "endivespring/internal/fleet"

// OperatorChange is an operator's command. Exactly one of Preset, DataCentre
// and Upstream is set. It is accepted only if Expected is the number of
// operator changes accepted so far. A resend has the same CommandID and Digest.
type OperatorChange struct {
	CommandID string
	// Digest stands for what the command asks for, without Expected.
	Digest     uint64
	Operator   string
	Expected   fleet.Version
	Preset     *fleet.Preset
	DataCentre *fleet.DataCentreSetting
	Upstream   *fleet.UpstreamSetting
}
