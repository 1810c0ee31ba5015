package executor

import (
	"cmp"
	"slices"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
)

const (
	// maxHold is the maximum duration of a lease to an upstream, by the
	// upstream's clock.
	maxHold = 10 * time.Second
	// clockDrift is the share by which an upstream's clock may run slower than
	// this VM's.
	clockDrift = 0.02
	// maxHoldLocal is the time by this VM's clock after which any lease to an
	// upstream has expired, at the maximum drift.
	maxHoldLocal = maxHold + maxHold*2/100
	// maxHandovers is how many bytes of handovers one answer to a heartbeat carries.
	maxHandovers = 1152
	// minHold is the shortest lease worth sending: one more heartbeat comes
	// within it.
	minHold = 200 * time.Millisecond
)

// rangeLeases tracks the key ranges that the upstream beside the executor may
// hold, out of those that control granted to its current boot. Invariant: no
// range is leased to the upstream beyond the router's own lease of key ranges,
// and none is reported as released while the upstream may still hold it.
type rangeLeases struct {
	self    fleet.RouterID
	service string
	boot    string
	// inheritedExpiry is when all leases have expired that an earlier process
	// of this router may have given. Until then, a heartbeat that shows no range
	// as held may have been sent before the upstream got its leases.
	inheritedExpiry clock.Instant
	leased          []leasedRange
	// shown are the ranges that heartbeats of the tracked boot showed as held up to
	// inheritedExpiry.
	shown []HeldRange
	// maxHold is the configured maximum duration of a lease.
	maxHold time.Duration
}

// begin records that this process has started: earlier ones give no leases from
// then on.
func (l *rangeLeases) begin(now clock.Instant) {
	if l.inheritedExpiry == 0 {
		l.inheritedExpiry = now.Add(maxHoldLocal)
	}
}

// track takes the upstream of a heartbeat and the ranges that it shows as held. No
// earlier process has leased ranges to an upstream that is newer than it.
func (l *rangeLeases) track(now clock.Instant, h *Heartbeat) {
	l.begin(now)
	if h.Newer {
		l.inheritedExpiry = min(l.inheritedExpiry, now)
	}
	if l.boot != h.Upstream.Boot || l.service != h.Upstream.Service {
		l.service, l.boot, l.leased, l.shown = h.Upstream.Service, h.Upstream.Boot, nil, nil
	}
	if now >= l.inheritedExpiry {
		l.shown = nil
		return
	}
	for _, held := range h.Holds {
		if !slices.Contains(l.shown, held) {
			l.shown = append(l.shown, held)
		}
	}
}

// owned returns the upstream's ranges that are in the given phase in a view.
func (l *rangeLeases) owned(view *fleet.View, phase fleet.ShardPhase) []fleet.KeyRange {
	space := view.KeySpaces[l.service]
	if space == nil || l.boot == "" {
		return nil
	}
	var owned []fleet.KeyRange
	for i := range space.Ranges {
		if r := &space.Ranges[i]; r.Phase == phase && r.HeldBy(l.self, l.boot) {
			owned = append(owned, *r)
		}
	}
	return owned
}

// renew leases the upstream its granted ranges. Even on a clock that is slow by
// clockDrift the lease ends no later than the router's range lease. It is counted
// from now; the upstream counts it from when it sent its heartbeat, which is
// earlier.
func (l *rangeLeases) renew(now clock.Instant, view *fleet.View, leaseExpiry clock.Instant, holds []HeldRange) LeaseAnswer {
	hold := time.Duration(float64(leaseExpiry.Sub(now)) / (1 + clockDrift))
	hold = min(l.maxHold, hold.Truncate(time.Millisecond))
	if hold < minHold {
		return LeaseAnswer{}
	}
	answer := LeaseAnswer{Renews: true, Ranges: l.selectRanges(l.owned(view, fleet.ShardGranted), holds), Hold: hold}
	expiry := now.Add(time.Duration(float64(hold) * (1 + clockDrift)))
	kept := slices.DeleteFunc(l.leased, func(lease leasedRange) bool { return lease.expiry <= now })
	l.leased = nil
	for _, r := range answer.Ranges {
		l.leased = append(l.leased, leasedRange{first: r.First, last: r.Last, epoch: r.Epoch, expiry: expiry})
	}
	// A range that is not renewed may be held until the lease given last
	// expires.
	for _, lease := range kept {
		if !l.covered(&lease, answer.Ranges) {
			lease.revoked = true
			l.leased = append(l.leased, lease)
		}
	}
	return answer
}

// selectRanges returns the granted ranges that fit in one answer, sorted: those that the upstream
// holds, and others as far as their handovers fit. The rest follow with the next answers. The
// upstream has the handover of a range that it holds.
func (l *rangeLeases) selectRanges(granted []fleet.KeyRange, holds []HeldRange) []fleet.KeyRange {
	var selected, others []fleet.KeyRange
	for _, r := range granted {
		if holdsUnder(holds, &r) {
			r.Handover = ""
			selected = append(selected, r)
		} else {
			others = append(others, r)
		}
	}
	// Ranges that were leased before come first: the upstream releases what is left out.
	slices.SortStableFunc(others, func(a, b fleet.KeyRange) int { return cmp.Compare(l.leaseEnd(&b), l.leaseEnd(&a)) })
	bytes := 0
	for _, r := range others {
		if len(r.Handover) > maxHandovers {
			r.Handover = ""
		}
		if bytes+len(r.Handover) <= maxHandovers {
			bytes += len(r.Handover)
			selected = append(selected, r)
		}
	}
	selected = selected[:min(len(selected), fleet.MaxOwnerRanges)]
	slices.SortFunc(selected, func(a, b fleet.KeyRange) int { return cmp.Compare(a.First, b.First) })
	return selected
}

// holdsUnder reports whether one of the held ranges contains a range under its epoch.
func holdsUnder(holds []HeldRange, r *fleet.KeyRange) bool {
	return slices.ContainsFunc(holds, func(h HeldRange) bool { return h.First <= r.First && h.Last >= r.Last && h.Epoch == r.Epoch })
}

// leaseEnd returns when the upstream's lease of a range under its epoch ends, or zero.
func (l *rangeLeases) leaseEnd(r *fleet.KeyRange) clock.Instant {
	for _, lease := range l.leased {
		if lease.first <= r.First && lease.last >= r.Last && lease.epoch == r.Epoch && !lease.revoked {
			return lease.expiry
		}
	}
	return 0
}

func (l *rangeLeases) covered(lease *leasedRange, ranges []fleet.KeyRange) bool {
	return slices.ContainsFunc(ranges, func(r fleet.KeyRange) bool { return r.First <= lease.first && r.Last >= lease.last })
}

// keyExpiry returns when the upstream's lease of a key expires, or zero if the
// upstream doesn't hold the key under the epoch granted last. A range that
// control revokes is served until an answer to a heartbeat has told the
// upstream.
func (l *rangeLeases) keyExpiry(view *fleet.View, key uint32) clock.Instant {
	space := view.KeySpaces[l.service]
	if space == nil {
		return 0
	}
	r := space.Find(key)
	if !r.HeldBy(l.self, l.boot) {
		return 0
	}
	for _, lease := range l.leased {
		if lease.first <= key && lease.last >= key && lease.epoch == r.Epoch && !lease.revoked {
			return lease.expiry
		}
	}
	return 0
}

// releases returns the revoked ranges that the upstream has released, and those
// whose last lease has expired.
func (l *rangeLeases) releases(now clock.Instant, view *fleet.View, released []ReleasedRange, holds []HeldRange) session.RangeReport {
	report := session.RangeReport{Service: l.service, Boot: l.boot}
	for _, r := range l.owned(view, fleet.ShardRevoking) {
		for _, part := range released {
			first, last := max(r.First, part.First), min(r.Last, part.Last)
			if first <= last && !overlaps(holds, first, last) && l.provesRelease(now, first, last, r.Epoch) {
				report.Releases = append(report.Releases, fsm.RangeRelease{First: first, Last: last, Epoch: r.Epoch, Handover: part.Handover})
			}
		}
		if now >= l.rangeExpiry(&r) {
			report.Releases = append(report.Releases, fsm.RangeRelease{First: r.First, Last: r.Last, Epoch: r.Epoch})
		}
	}
	return report
}

// provesRelease reports whether a heartbeat that names the keys first to last as
// released was sent after the upstream had taken them under an epoch. One that was
// sent to an earlier process may arrive late and mean an earlier epoch.
func (l *rangeLeases) provesRelease(now clock.Instant, first, last uint32, epoch fleet.Epoch) bool {
	return now >= l.inheritedExpiry || holdsUnder(l.shown, &fleet.KeyRange{First: first, Last: last, Epoch: epoch})
}

// rangeExpiry returns when the last lease of any part of a range expires.
func (l *rangeLeases) rangeExpiry(r *fleet.KeyRange) clock.Instant {
	expiry := l.inheritedExpiry
	for _, lease := range l.leased {
		if lease.first <= r.Last && lease.last >= r.First {
			expiry = max(expiry, lease.expiry)
		}
	}
	return expiry
}

func overlaps(holds []HeldRange, first, last uint32) bool {
	return slices.ContainsFunc(holds, func(h HeldRange) bool { return h.First <= last && h.Last >= first })
}

// releaseEarlierBoots returns the releases of ranges that the view assigns to
// earlier boots of the upstream. Those ended before the tracked boot began, so
// that they hold nothing, whichever process of this router gave the leases.
func (l *rangeLeases) releaseEarlierBoots(view *fleet.View) []session.RangeReport {
	if l.boot == "" {
		return nil
	}
	var reports []session.RangeReport
	for service, space := range view.KeySpaces {
		byBoot := map[string][]fsm.RangeRelease{}
		for i := range space.Ranges {
			if r := &space.Ranges[i]; r.Phase != fleet.ShardFree && r.Owner == l.self && r.Boot != l.boot {
				byBoot[r.Boot] = append(byBoot[r.Boot], fsm.RangeRelease{First: r.First, Last: r.Last, Epoch: r.Epoch})
			}
		}
		for boot, releases := range byBoot {
			reports = append(reports, session.RangeReport{Service: service, Boot: boot, Releases: releases})
		}
	}
	slices.SortFunc(reports, func(a, b session.RangeReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Boot, b.Boot))
	})
	return reports
}

// releaseAll returns the releases of all ranges of an upstream whose process
// has exited.
func (l *rangeLeases) releaseAll(view *fleet.View) session.RangeReport {
	report := session.RangeReport{Service: l.service, Boot: l.boot}
	for _, phase := range []fleet.ShardPhase{fleet.ShardGranted, fleet.ShardRevoking} {
		for _, r := range l.owned(view, phase) {
			report.Releases = append(report.Releases, fsm.RangeRelease{First: r.First, Last: r.Last, Epoch: r.Epoch})
		}
	}
	l.leased = nil
	return report
}
