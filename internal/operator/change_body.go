package operator

import "encoding/json"

// ChangeBody is an operator's command as JSON.
type ChangeBody struct {
	CommandID  string          `json:"commandId"`
	Operator   string          `json:"operator"`
	Expected   uint64          `json:"expectedConfigVersion"`
	Preset     json.RawMessage `json:"preset,omitempty"`
	DataCentre string          `json:"dataCentre,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	Out        bool            `json:"out,omitempty"`
}
