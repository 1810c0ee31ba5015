package settings

// ControlPeer says where one control process is reached.
type ControlPeer struct {
	Name     string `json:"name" required:"true" kind:"name" doc:"Name of the control process."`
	Peer     string `json:"peer" required:"true" kind:"address" doc:"Address for control processes and routers."`
	Operator string `json:"operator" required:"true" kind:"address" doc:"Address for operators."`
}
