package controlnode

import (
	"time"

	"endivespring/internal/controller"
	"endivespring/internal/event"
	"endivespring/internal/operator"
)

// pendingCommand is an operator's command that waits for its outcome.
type pendingCommand struct {
	request operator.Request
	// queued is how long the request waited for the controller duty.
	queued time.Duration
}

// fields returns the fields of the event for a reply to the command.
func (p *pendingCommand) fields(reply *controller.OperatorReply) []event.Field {
	return []event.Field{
		event.F("command", p.request.Change.CommandID), event.F("outcome", outcomeName(reply)), event.F("leader", reply.Leader),
		event.F("queued", p.queued), event.F("took", time.Since(p.request.ReceivedAt)),
	}
}

// outcomeName returns what a reply says about a command.
func outcomeName(reply *controller.OperatorReply) string {
	switch {
	case reply.Redirect:
		return "redirected"
	case reply.TooFewVoters:
		return "too few voters"
	case reply.ConfirmCaller:
		return "caller not confirmed"
	case reply.OutcomeUnknown:
		return "unknown"
	case reply.Result.Accepted:
		return "accepted"
	default:
		return "refused"
	}
}
