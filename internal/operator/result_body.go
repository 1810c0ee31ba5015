package operator

// ResultBody is the outcome of an operator's command as JSON.
type ResultBody struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Config   uint64 `json:"configVersion"`
	View     uint64 `json:"viewVersion"`
}
