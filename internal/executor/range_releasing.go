package executor

import (
	"endivespring/internal/clock"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

func (q *rangeRequests) mustSendRelease(now clock.Instant, r *leavingRange, release *sentRelease) bool {
	return r.service == q.upstream.Service && !q.ended && !release.released && release.number == 0 && now >= release.nextAt && !q.grantInFlight(r.First, r.Last)
}

func (q *rangeRequests) grantInFlight(first, last uint32) bool {
	for i := range q.grants {
		if q.grants[i].inFlight && q.grants[i].overlaps(first, last) {
			return true
		}
	}
	return false
}

func (q *rangeRequests) releaseOf(r *leavingRange) *sentRelease {
	release := q.releases[r.id()]
	if release == nil {
		release = &sentRelease{}
		q.releases[r.id()] = release
	}
	return release
}

// isReleased reports whether the upstream holds no part of a leaving range and cannot
// come to hold one by a grant that was sent before.
func (q *rangeRequests) isReleased(now clock.Instant, r *leavingRange, release *sentRelease) bool {
	if now < q.inheritedExpiry {
		return false
	}
	for i := range q.grants {
		if g := &q.grants[i]; g.overlaps(r.First, r.Last) && !(release.released && g.confirmed) {
			return false
		}
	}
	return true
}

func (q *rangeRequests) report(reports []session.RangeReport, now clock.Instant, r *leavingRange, release *sentRelease) []session.RangeReport {
	if now < release.reportAt {
		return reports
	}
	release.reportAt = now.Add(reportInterval)
	return append(reports, session.RangeReport{Service: r.service, Boot: r.Boot, Releases: []fsm.RangeRelease{
		{First: r.First, Last: r.Last, Epoch: r.Epoch, Handover: release.handover},
	}})
}
