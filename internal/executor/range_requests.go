package executor

import (
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/session"
)

const (
	// maxRequestedLease is the longest time for which a grant sent by request may
	// give the upstream a lease, by this VM's clock.
	maxRequestedLease = 3 * time.Second
	// renewAfter is the share of a lease after which it is renewed. It leaves time to
	// repeat a renewal that is lost.
	renewAfter = 0.4
	// refusedRetry is the delay before a refused or unsent request is sent again, and
	// before the router's lease is examined again if it is too short for a grant.
	refusedRetry = 100 * time.Millisecond
	// unansweredRetry is the delay before an unanswered request is sent again.
	unansweredRetry = 20 * time.Millisecond
	// reportInterval is the time between reports of the same release.
	reportInterval = 100 * time.Millisecond
)

// rangeRequests tracks the key ranges that the upstream may hold if they are granted
// by requests, out of those that control granted to it.
//
// Invariants: a lease sent to the upstream ends no later than the router's own lease
// of key ranges. A range is reported as released only if the upstream confirmed the
// release and no grant of a part of it is in flight or unanswered, or if every lease
// that was sent has ended. No release is sent while a grant of a part of the range is
// in flight, since the two might be applied in either order.
type rangeRequests struct {
	self     fleet.RouterID
	upstream fleet.Upstream
	// inheritedExpiry is when all leases have expired that an earlier process of this
	// router may have sent, also to a start of the upstream that it took for an earlier
	// one.
	inheritedExpiry clock.Instant
	// ended is set once the tracked start of the upstream has exited.
	ended    bool
	maxHold  time.Duration
	number   uint64
	grants   []sentGrant
	releases map[rangeID]*sentRelease
	// retryAt is when a grant that was not confirmed may be sent again.
	retryAt map[rangeID]clock.Instant
	// fenced holds the grants that the upstream refused for a higher epoch.
	fenced map[rangeID]bool
	// inFlight holds the requests without a response.
	inFlight map[uint64]RangeRequest
	// nextAt is when step must be called next.
	nextAt clock.Instant
	// granted are the ranges of the view that the upstream is to hold, leaving those that
	// it is to release, and those of earlier starts.
	granted []fleet.KeyRange
	leaving []leavingRange
}

func newRangeRequests(self fleet.RouterID) *rangeRequests {
	return &rangeRequests{
		self: self, maxHold: maxHold, releases: map[rangeID]*sentRelease{}, retryAt: map[rangeID]clock.Instant{},
		fenced: map[rangeID]bool{}, inFlight: map[uint64]RangeRequest{},
	}
}

// begin records that this process has started: earlier ones send nothing from then on.
func (q *rangeRequests) begin(now clock.Instant) {
	if q.inheritedExpiry == 0 {
		q.inheritedExpiry = now.Add(maxRequestedLease)
	}
}

// track switches to the upstream of a heartbeat. If it is newer than the router's earlier
// process, that one has sent no lease that still counts.
func (q *rangeRequests) track(now clock.Instant, u fleet.Upstream, newer bool, view *fleet.View) {
	q.begin(now)
	if newer {
		q.inheritedExpiry = min(q.inheritedExpiry, now)
	}
	known := q.upstream
	q.upstream = u
	if known.Boot != u.Boot || known.Service != u.Service {
		q.ended = false
		q.refresh(view)
	}
}

// refresh takes the ranges of a view.
func (q *rangeRequests) refresh(view *fleet.View) {
	q.granted, q.leaving = nil, nil
	if q.upstream.Boot == "" {
		return
	}
	for service, space := range view.KeySpaces {
		for i := range space.Ranges {
			r := &space.Ranges[i]
			switch {
			case r.Phase == fleet.ShardFree || r.Owner != q.self:
			case service == q.upstream.Service && r.Boot == q.upstream.Boot && r.Phase == fleet.ShardGranted && !q.ended && !q.fenced[idOf(service, r)]:
				q.granted = append(q.granted, *r)
			default:
				q.leaving = append(q.leaving, leavingRange{service: service, KeyRange: *r})
			}
		}
	}
	q.forget()
}

// forget drops the state of ranges that the view no longer shows.
func (q *rangeRequests) forget() {
	known := map[rangeID]bool{}
	for i := range q.granted {
		known[idOf(q.upstream.Service, &q.granted[i])] = true
	}
	for i := range q.leaving {
		known[q.leaving[i].id()] = true
	}
	for id := range q.retryAt {
		if !known[id] {
			delete(q.retryAt, id)
		}
	}
	for id, release := range q.releases {
		if !known[id] && release.number == 0 {
			delete(q.releases, id)
		}
	}
	for id := range q.fenced {
		if !known[id] {
			delete(q.fenced, id)
		}
	}
}

// step returns the requests that are due, and the ranges that are released.
func (q *rangeRequests) step(now clock.Instant, leaseExpiry clock.Instant) (requests []RangeRequest, reports []session.RangeReport) {
	q.expire(now)
	for i := range q.granted {
		if r := &q.granted[i]; now >= q.renewAt(r) {
			requests = q.grant(requests, now, leaseExpiry, r)
		}
	}
	for i := range q.leaving {
		r := &q.leaving[i]
		release := q.releaseOf(r)
		switch {
		case q.isReleased(now, r, release):
			reports = q.report(reports, now, r, release)
		case q.mustSendRelease(now, r, release):
			requests = append(requests, q.send(RangeRequest{Kind: ReleaseRange, First: r.First, Last: r.Last, Epoch: r.Epoch}))
			release.number = q.number
		}
	}
	q.schedule(now)
	return requests, reports
}

// schedule sets nextAt to the time of the next renewal or of the next check of leaving
// ranges, whichever is earlier.
func (q *rangeRequests) schedule(now clock.Instant) {
	q.nextAt = clock.Never
	for i := range q.granted {
		q.nextAt = min(q.nextAt, q.renewAt(&q.granted[i]))
	}
	if len(q.leaving) > 0 {
		q.nextAt = min(q.nextAt, now.Add(reportInterval))
	}
	for i := range q.leaving {
		if release := q.releaseOf(&q.leaving[i]); release.number == 0 && release.nextAt > now {
			q.nextAt = min(q.nextAt, release.nextAt)
		}
	}
}

func (q *rangeRequests) grant(requests []RangeRequest, now, leaseExpiry clock.Instant, r *fleet.KeyRange) []RangeRequest {
	request := RangeRequest{
		Kind: GrantRange, First: r.First, Last: r.Last, Epoch: r.Epoch, Handover: r.Handover, MaxHold: q.maxHold,
		Until: min(leaseExpiry, now.Add(maxRequestedLease)),
	}
	if _, ok := request.Hold(now); !ok {
		q.retryAt[idOf(q.upstream.Service, r)] = now.Add(refusedRetry)
		return requests
	}
	delete(q.retryAt, idOf(q.upstream.Service, r))
	request.Renewal = slices.ContainsFunc(q.grants, func(g sentGrant) bool { return g.confirmed && g.covers(r) })
	request = q.send(request)
	q.grants = append(q.grants, sentGrant{
		number: request.Number, first: r.First, last: r.Last, epoch: r.Epoch, sent: now, until: request.Until, inFlight: true,
	})
	return append(requests, request)
}

func (q *rangeRequests) send(request RangeRequest) RangeRequest {
	q.number++
	request.Number, request.Upstream = q.number, q.upstream
	q.inFlight[q.number] = request
	return request
}

// expire forgets the grants whose lease has ended, but for those in flight.
func (q *rangeRequests) expire(now clock.Instant) {
	kept := q.grants[:0]
	for _, g := range q.grants {
		if g.inFlight || g.until > now {
			kept = append(kept, g)
		}
	}
	q.grants = kept
}

// renewAt returns when a grant of a range is due, or Never while one is in flight.
func (q *rangeRequests) renewAt(r *fleet.KeyRange) clock.Instant {
	at := clock.Instant(0)
	for i := range q.grants {
		g := &q.grants[i]
		if g.inFlight && g.overlaps(r.First, r.Last) {
			return clock.Never
		}
		if g.confirmed && g.covers(r) {
			at = max(at, g.sent.Add(time.Duration(renewAfter*float64(g.until.Sub(g.sent)))))
		}
	}
	if retry, ok := q.retryAt[idOf(q.upstream.Service, r)]; ok {
		return retry
	}
	return at
}
