package operator

import "endivespring/internal/controller"

// statusAnswer is what one control process says of the fleet.
type statusAnswer struct {
	address string
	status  *controller.Status
	err     error
}
