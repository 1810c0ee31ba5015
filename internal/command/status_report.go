package command

import (
	"endivespring/internal/controller"
	"endivespring/internal/operator"
)

// statusReport is what the leader knows, and each control process as the
// operator reaches it.
type statusReport struct {
	*controller.Status
	Processes []operator.Process `json:"controlProcesses"`
}
