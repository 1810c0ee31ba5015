package operator

import "encoding/json"

// ChangeBody is the JSON body of an operator's command. Exactly one of Preset,
// DataCentre and Upstream is set. Expected is the config version that the
// change is based on: the command is refused if it is not the current one.
type ChangeBody struct {
	CommandID  string          `json:"commandId"`
	Operator   string          `json:"operator"`
	Expected   uint64          `json:"expectedConfigVersion"`
	Preset     json.RawMessage `json:"preset,omitempty"`
	DataCentre string          `json:"dataCentre,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	Out        bool            `json:"out,omitempty"`
}
