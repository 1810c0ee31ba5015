package operator

import (
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
)

// Reply is the controller duty's answer to a request.
type Reply struct {
	// Redirect is set if this process is not the leader; nothing was done.
	Redirect bool
	// Leader is the peer address of the leader, empty if it is unknown.
	Leader string
	// TooFewVoters is set if the log has too few voters to keep a command safe;
	// nothing was done.
	TooFewVoters bool
	// ConfirmCaller is set if the command must be sent again with CallerConfirmed;
	// nothing was done.
	ConfirmCaller bool
	// OutcomeUnknown is set if the command was proposed but not committed before
	// leadership was lost or the request timed out; it may still be committed.
	OutcomeUnknown bool
	Result         fsm.Result
	Status         *controller.Status
	Explanation    *controller.Explanation
	// Preset is the one in force, or nil. It is shared and must not be changed.
	Preset *fleet.Preset
}
