package operator

import (
	"endivespring/internal/control"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
)

// Reply answers a request.
type Reply struct {
	Redirect bool
	// Unknown is set if the command may be accepted or not.
	Unknown     bool
	Result      control.Result
	Status      *controller.Status
	Explanation *controller.Explanation
	// Preset is the one in force; nil if none is. It must not be changed.
	Preset *fleet.Preset
}
