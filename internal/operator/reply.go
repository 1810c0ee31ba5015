package operator

import (
	"endivespring/internal/control"
	"endivespring/internal/controller"
)

// Reply answers a request.
type Reply struct {
	Redirect    bool
	Result      control.Result
	Status      *controller.Status
	Explanation *controller.Explanation
}
