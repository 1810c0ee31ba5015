package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
)

// grantsByRequest reports whether the upstream learns its key ranges by requests. It
// is false before the upstream's service is known from the preset.
func (c *Core) grantsByRequest() bool {
	s := c.view.Preset.Service(c.upstream.Service)
	return s != nil && s.Ranged && s.Profile.GrantsBy == fleet.GrantByRequest
}

// keyExpiry returns when the upstream's lease of a key expires, or zero if the upstream
// doesn't hold the key.
func (c *Core) keyExpiry(key uint32) clock.Instant {
	if c.grantsByRequest() {
		return c.rangeRequests.keyExpiry(key)
	}
	return c.rangeLeases.keyExpiry(c.view, key)
}

// stepRangeRequests puts the requests to the upstream that are due, and the ranges that
// it has released, into the output.
func (c *Core) stepRangeRequests(now clock.Instant) {
	requests, reports := c.rangeRequests.step(now, c.rangeLeaseExpiry)
	c.output.RangeRequests = append(c.output.RangeRequests, requests...)
	for _, r := range reports {
		c.reportRanges(r)
	}
}

// CompleteRangeRequest takes the outcome of a range request.
func (c *Core) CompleteRangeRequest(now clock.Instant, response RangeResponse) {
	request, ok := c.rangeRequests.respond(now, &response)
	if !ok {
		return
	}
	c.logRangeResponse(&request, &response)
	if response.Result == RangeFenced {
		c.rangeRequests.refresh(c.view)
	}
	c.stepRangeRequests(now)
	c.startQueued(now)
}

// logRangeResponse logs every failure, every release, and the first confirmed grant of a
// range.
func (c *Core) logRangeResponse(request *RangeRequest, response *RangeResponse) {
	definition := event.RangeRequestFailed
	switch {
	case response.Result == RangeApplied && request.Kind == ReleaseRange:
		definition = event.KeysReleased
	case response.Result == RangeApplied && request.Renewal:
		return
	case response.Result == RangeApplied:
		definition = event.KeysConfirmed
	}
	newest := fleet.Epoch(0)
	if space := c.view.KeySpaces[request.Upstream.Service]; space != nil {
		newest = space.LastEpoch
	}
	c.log(definition, event.F("upstream", request.Upstream.Name), event.F("boot", request.Upstream.Boot), event.F("service", request.Upstream.Service),
		event.F("kind", request.Kind.String()), event.F("first", request.First), event.F("last", request.Last), event.F("epoch", uint64(request.Epoch)),
		event.F("newest", uint64(newest)), event.F("result", response.Result.String()), event.F("status", response.Status),
		event.F("handover", request.Handover != "" || response.Handover != ""), event.F("view", uint64(c.view.Version)))
}
