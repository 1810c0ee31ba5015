package operator

// ResultBody is the JSON body with the outcome of a command. Reason says why a
// command was refused.
type ResultBody struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Config   uint64 `json:"configVersion"`
	View     uint64 `json:"viewVersion"`
}
