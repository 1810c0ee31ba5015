package settings

// ControlPeer holds the name and addresses of one control process.
type ControlPeer struct {
	Name     string `json:"name" required:"true" kind:"name" doc:"Name of the control process."`
	Peer     string `json:"peer" required:"true" kind:"address" doc:"Address for control processes and routers."`
	Operator string `json:"operator" required:"true" kind:"address" doc:"Address for operators."`
}
