package command

import (
	"endivespring/internal/controller"
	"endivespring/internal/operator"
)

// statusReport combines the leader's status with the state of each control process
// as seen from the operator's machine.
type statusReport struct {
	*controller.Status
	Processes []operator.Process `json:"controlProcesses"`
}
