package operator

import (
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Reply answers a request.
type Reply struct {
	Redirect bool
	// Leader is the peer address of the control process that leads, if it is known.
	Leader string
	// Unready is set if control cannot keep a command safe yet; nothing was done.
	Unready bool
	// Unknown is set if the command may be accepted or not.
	Unknown     bool
	Result      fsm.Result
	Status      *controller.Status
	Explanation *controller.Explanation
	// Preset is the one in force; nil if none is. It must not be changed.
	Preset *fleet.Preset
}
