package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// refusal returns why a call must not be admitted, or verdict.ReasonNone.
func (c *Core) refusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch {
	case c.stopping, c.outlasts(now, request):
		return verdict.ReasonStopping
	case now >= c.viewExpiry:
		return verdict.ReasonViewStale
	case now >= request.Deadline:
		return verdict.ReasonDeadline
	case request.Ranged && c.unavailableForRanges(now, request.Service):
		return verdict.ReasonNoUpstream
	case !request.Sharded && !request.Ranged && c.unavailable(request.Service):
		return verdict.ReasonNoUpstream
	case request.Sharded:
		return c.shardRefusal(now, request)
	case request.Ranged:
		return c.rangeRefusal(now, request)
	default:
		return verdict.ReasonNone
	}
}

// shardRefusal returns why a call must not be admitted for its shard: the shard
// is not owned, the ownership lease has expired, or the upstream is unavailable
// and no other executor can run the call.
func (c *Core) shardRefusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch {
	case c.shards.granted(request.ShardID()) == nil:
		return verdict.ReasonNotOwner
	case now >= c.ownershipExpiry:
		return verdict.ReasonLeaseExpired
	case c.unavailable(request.Service) && !c.mayDelegate(request):
		return verdict.ReasonNoUpstream
	default:
		return verdict.ReasonNone
	}
}

// rangeRefusal returns why a call must not run at the upstream for its key: the
// upstream doesn't hold the key's range, or its lease has expired.
func (c *Core) rangeRefusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch expiry := c.keyExpiry(request.KeyNumber); {
	case expiry == 0:
		return verdict.ReasonNotOwner
	case now >= expiry:
		return verdict.ReasonLeaseExpired
	default:
		return verdict.ReasonNone
	}
}

// retriedElsewhere reports whether the gateway sends a call refused for this
// reason to another executor, which checks the request's record itself.
func retriedElsewhere(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonStopping, verdict.ReasonViewStale, verdict.ReasonNotOwner, verdict.ReasonLeaseExpired, verdict.ReasonNoUpstream:
		return true
	default:
		return false
	}
}

func (c *Core) refuse(ticket Ticket, request *call.Call, v verdict.Verdict, reason verdict.Reason) {
	c.logRefusal(request, v, reason, CauseNone)
	c.reply(ticket, call.Refusal(request, v, reason))
}

// refuseOverloaded refuses a call for lack of capacity.
func (c *Core) refuseOverloaded(ticket Ticket, request *call.Call, cause RefusalCause) {
	c.logRefusal(request, verdict.NotRun, verdict.ReasonOverloaded, cause)
	c.reply(ticket, call.Refusal(request, verdict.NotRun, verdict.ReasonOverloaded))
}

// logRefusal logs a refusal with the state that it was based on.
func (c *Core) logRefusal(request *call.Call, v verdict.Verdict, reason verdict.Reason, cause RefusalCause) {
	c.earlyReport.observe(request, reason)
	if cause != CauseNone {
		c.output.Refusals = append(c.output.Refusals, cause)
	}
	c.output.Events = append(c.output.Events, call.NewEvent(event.RequestRefused,
		event.F("request", request.RequestID), event.F("service", request.Service), event.F("operation", request.Operation),
		event.F("verdict", v.String()), event.F("reason", string(reason)), event.F("shard", request.Shard),
		event.F("key", request.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("running", c.limiter.Running()),
		event.F("queued", c.queue.length), event.F("limit", c.limiter.Limit()), event.F("typical", c.expectedRunTime(request.Operation)),
		event.F("why", string(cause)), event.F("wait", c.wait(c.steppedAt))))
}
