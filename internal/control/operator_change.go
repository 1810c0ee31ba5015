package control

import "endivespring/internal/fleet"

// OperatorChange is an operator's command. Exactly one of Preset, DataCentre
// and Upstream is set. It is accepted only if Expected is the number of
// operator changes accepted so far.
type OperatorChange struct {
	CommandID  string
	Operator   string
	Expected   fleet.Version
	Preset     *fleet.Preset
	DataCentre *fleet.DataCentreSetting
	Upstream   *fleet.UpstreamSetting
}
