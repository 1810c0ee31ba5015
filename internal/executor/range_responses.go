package executor

import (
	"slices"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// respond takes the outcome of a request. It returns the request, and whether it was
// in flight.
func (q *rangeRequests) respond(now clock.Instant, response *RangeResponse) (RangeRequest, bool) {
	request, ok := q.inFlight[response.Number]
	if !ok {
		return RangeRequest{}, false
	}
	delete(q.inFlight, response.Number)
	if request.Kind == ReleaseRange {
		q.releaseEnded(now, &request, response)
	} else {
		q.grantEnded(now, &request, response)
	}
	return request, true
}

func (q *rangeRequests) releaseEnded(now clock.Instant, request *RangeRequest, response *RangeResponse) {
	release := q.releases[request.id()]
	if release == nil || release.number != request.Number {
		return
	}
	release.number = 0
	switch response.Result {
	case RangeApplied:
		release.released, release.handover = true, response.Handover
	case RangeUnanswered:
		release.nextAt = now.Add(unansweredRetry)
	default:
		release.nextAt = now.Add(refusedRetry)
	}
}

// grantEnded updates the lease of a grant. A confirmed grant replaces earlier confirmed
// ones of the same range. One without an answer counts until its lease must have ended.
func (q *rangeRequests) grantEnded(now clock.Instant, request *RangeRequest, response *RangeResponse) {
	id := request.id()
	q.grants = slices.DeleteFunc(q.grants, func(g sentGrant) bool {
		if g.number == request.Number {
			return response.Result != RangeApplied && response.Result != RangeUnanswered
		}
		return response.Result == RangeApplied && g.confirmed && g.first == request.First && g.last == request.Last && g.epoch == request.Epoch
	})
	for i := range q.grants {
		if g := &q.grants[i]; g.number == request.Number {
			g.inFlight, g.confirmed = false, response.Result == RangeApplied
		}
	}
	switch response.Result {
	case RangeApplied:
		delete(q.retryAt, id)
	case RangeUnanswered:
		q.retryAt[id] = now.Add(unansweredRetry)
	case RangeFenced:
		q.fenced[id] = true
	default:
		q.retryAt[id] = now.Add(refusedRetry)
	}
}

// keyExpiry returns when the upstream's lease of a key expires, or zero if it is not
// known to hold the key under the epoch granted last.
func (q *rangeRequests) keyExpiry(key uint32) clock.Instant {
	i := slices.IndexFunc(q.granted, func(r fleet.KeyRange) bool { return r.First <= key && key <= r.Last })
	if i < 0 {
		return 0
	}
	expiry := clock.Instant(0)
	for j := range q.grants {
		if g := &q.grants[j]; g.confirmed && g.epoch == q.granted[i].Epoch && g.overlaps(key, key) {
			expiry = max(expiry, g.until)
		}
	}
	return expiry
}

// keyRefused makes a grant of a key's range due, since the upstream refused a call
// because it doesn't hold the key.
func (q *rangeRequests) keyRefused(now clock.Instant, key uint32) {
	for i := range q.granted {
		if r := &q.granted[i]; r.First <= key && key <= r.Last && q.renewAt(r) != clock.Never {
			q.retryAt[idOf(q.upstream.Service, r)] = min(q.renewAt(r), max(now, q.lastSent(r).Add(refusedRetry)))
		}
	}
	q.nextAt = min(q.nextAt, now)
}

func (q *rangeRequests) lastSent(r *fleet.KeyRange) clock.Instant {
	last := clock.Instant(0)
	for i := range q.grants {
		if q.grants[i].overlaps(r.First, r.Last) {
			last = max(last, q.grants[i].sent)
		}
	}
	return last
}

// end records that the tracked start of the upstream has exited. Only a grant in flight
// may still reach a process: the next start.
func (q *rangeRequests) end(view *fleet.View) {
	q.ended = true
	q.grants = slices.DeleteFunc(q.grants, func(g sentGrant) bool { return !g.inFlight })
	q.refresh(view)
}
