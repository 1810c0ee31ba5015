package router

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/caller"
	"endivespring/internal/clock"
)

// callerCheckDelay is the time in the queue after which a call is sent only if its caller is
// still there.
const callerCheckDelay = 100 * time.Millisecond

// outgoingCall is a call, or the cancellation or withdrawal of one, queued for a link.
type outgoingCall struct {
	call             call.Call
	cancel, withdraw bool
	// request is that of the call, or nil if it has no caller.
	request  *caller.Request
	queuedAt clock.Instant
}

// isCall reports whether this is a call and no message about one.
func (o *outgoingCall) isCall() bool { return !o.cancel && !o.withdraw }

// callerGone reports whether a call has waited so long that its caller may have left, and
// it has.
func (o *outgoingCall) callerGone(now clock.Instant) bool {
	return o.request != nil && now.Sub(o.queuedAt) >= callerCheckDelay && o.request.Disconnected()
}
