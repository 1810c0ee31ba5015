package executor

import (
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/verdict"
)

// refusal returns why a call must not be admitted, or no reason.
func (c *Core) refusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch {
	case c.stopping:
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

// rangeRefusal returns why a call must not be given to the upstream for its key.
func (c *Core) rangeRefusal(now clock.Instant, request *call.Call) verdict.Reason {
	switch until := c.rangeLeases.keyExpiry(c.view, request.KeyNumber); {
	case until == 0:
		return verdict.ReasonNotOwner
	case now >= until:
		return verdict.ReasonLeaseExpired
	default:
		return verdict.ReasonNone
	}
}

// unfit reports whether the upstream beside the door must get no new work of a
// service.
func (c *Core) unavailable(service string) bool {
	return c.upstream.Name == "" || c.leaving || c.upstream.Service != service ||
		c.view.DataCentresOut[c.dataCentre] || c.view.UpstreamsOut[c.upstream.Name]
}

// unfitForRanges reports whether the upstream must get no new calls for keys.
// One that leaves, or whose data centre is taken out, goes on with the keys that
// it holds while they are asked back, for a short time.
func (c *Core) unavailableForRanges(now clock.Instant, service string) bool {
	if c.upstream.Name == "" || c.upstream.Service != service {
		return true
	}
	if !c.unavailable(service) {
		c.unavailableSince = 0
		return false
	}
	if c.unavailableSince == 0 {
		c.unavailableSince = now
	}
	return now >= c.unavailableSince.Add(c.revocationGrace)
}

// moves reports whether a refusal sends the entry to another door, which knows
// the request's record or not.
func redirectsCaller(reason verdict.Reason) bool {
	switch reason {
	case verdict.ReasonStopping, verdict.ReasonViewStale, verdict.ReasonNotOwner, verdict.ReasonLeaseExpired, verdict.ReasonNoUpstream:
		return true
	default:
		return false
	}
}

func (c *Core) refuse(ticket Ticket, request *call.Call, v verdict.Verdict, reason verdict.Reason) {
	c.logRefusal(request, v, reason)
	c.reply(ticket, call.Refusal(request, v, reason))
}

// decideRefusal logs a refusal with what decided it.
func (c *Core) logRefusal(request *call.Call, v verdict.Verdict, reason verdict.Reason) {
	c.output.Decisions = append(c.output.Decisions, call.Decide(event.RequestRefused,
		event.F("request", request.RequestID), event.F("service", request.Service), event.F("operation", request.Operation),
		event.F("verdict", v.String()), event.F("reason", string(reason)), event.F("shard", request.Shard),
		event.F("key", request.KeyNumber), event.F("view", uint64(c.view.Version)), event.F("running", c.limiter.Running()),
		event.F("queued", len(c.queue)), event.F("limit", c.limiter.Limit()), event.F("typical", c.expectedRunTime(request.Operation))))
}
