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
	// maxHold is the longest time for which an upstream takes keys.
	maxHold = 10 * time.Second
	// clockDrift is how much slower than this VM's an upstream's clock may run.
	clockDrift = 0.02
	// longestHold is the time by this VM's clock in which every hold has ended.
	maxHoldLocal = maxHold + maxHold*2/100
	// leastHold is the shortest time worth lending keys for: one heartbeat more
	// comes within it.
	minHold = 200 * time.Millisecond
)

// keyring knows which keys the upstream beside the door holds, of those that
// control granted to this start of it. Invariant: no key is lent beyond the
// ownership lease, and none is reported as part back while the upstream may
// hold it.
type rangeLeases struct {
	self    fleet.RouterID
	service string
	boot    string
	// unknown is when everything has ended that an earlier process of this router
	// lent to this start of the upstream.
	inheritedExpiry clock.Instant
	leased          []leasedRange
	// maxHold is the longest time for which the upstream takes keys.
	maxHold time.Duration
}

// follow makes the keyring follow a start of an upstream, which holds some
// ranges already if an earlier process of this router lent them.
func (k *rangeLeases) track(now clock.Instant, u fleet.Upstream, holds []HeldRange) {
	if k.boot == u.Boot && k.service == u.Service {
		return
	}
	k.service, k.boot, k.inheritedExpiry, k.leased = u.Service, u.Boot, 0, nil
	if len(holds) > 0 {
		k.inheritedExpiry = now.Add(maxHoldLocal)
	}
}

// owned returns the ranges of a view in one phase that are this upstream's.
func (k *rangeLeases) owned(view *fleet.View, phase fleet.ShardPhase) []fleet.KeyRange {
	space := view.KeySpaces[k.service]
	if space == nil || k.boot == "" {
		return nil
	}
	var owned []fleet.KeyRange
	for i := range space.Ranges {
		if r := &space.Ranges[i]; r.Phase == phase && r.HeldBy(k.self, k.boot) {
			owned = append(owned, *r)
		}
	}
	return owned
}

// lend returns what the upstream is to hold, while the ownership lease runs.
func (k *rangeLeases) renew(now clock.Instant, view *fleet.View, ownUntil clock.Instant) LeaseAnswer {
	hold := time.Duration(float64(ownUntil.Sub(now)) / (1 + clockDrift))
	hold = min(k.maxHold, hold.Truncate(time.Millisecond))
	if hold < minHold {
		return LeaseAnswer{}
	}
	answer := LeaseAnswer{Renews: true, Ranges: k.owned(view, fleet.ShardGranted), Hold: hold}
	until := now.Add(time.Duration(float64(hold) * (1 + clockDrift)))
	kept := slices.DeleteFunc(k.leased, func(l leasedRange) bool { return l.expiry <= now })
	k.leased = nil
	for _, r := range answer.Ranges {
		k.leased = append(k.leased, leasedRange{first: r.First, last: r.Last, epoch: r.Epoch, expiry: until})
	}
	// What is not renewed may be held until its last lease ends.
	for _, l := range kept {
		if !k.covered(&l, answer.Ranges) {
			l.revoked = true
			k.leased = append(k.leased, l)
		}
	}
	return answer
}

func (k *rangeLeases) covered(l *leasedRange, ranges []fleet.KeyRange) bool {
	return slices.ContainsFunc(ranges, func(r fleet.KeyRange) bool { return r.First <= l.first && r.Last >= l.last })
}

// until returns when the upstream's hold on a key ends, or zero if it does not
// hold it under the epoch that control granted last. An upstream serves a range
// that control asks back until it is told so.
func (k *rangeLeases) keyExpiry(view *fleet.View, key uint32) clock.Instant {
	space := view.KeySpaces[k.service]
	if space == nil {
		return 0
	}
	r := space.Find(key)
	if !r.HeldBy(k.self, k.boot) {
		return 0
	}
	for _, l := range k.leased {
		if l.first <= key && l.last >= key && l.epoch == r.Epoch && !l.revoked {
			return l.expiry
		}
	}
	return 0
}

// releases returns the ranges asked back that the upstream gave up, or that it
// can no longer hold.
func (k *rangeLeases) releases(now clock.Instant, view *fleet.View, released []ReleasedRange, holds []HeldRange) session.RangeReport {
	report := session.RangeReport{Service: k.service, Boot: k.boot}
	for _, r := range k.owned(view, fleet.ShardRevoking) {
		for _, part := range released {
			first, last := max(r.First, part.First), min(r.Last, part.Last)
			if first <= last && !overlaps(holds, first, last) {
				report.Releases = append(report.Releases, fsm.RangeRelease{First: first, Last: last, Epoch: r.Epoch, Handover: part.Handover})
			}
		}
		if now >= k.rangeExpiry(&r) {
			report.Releases = append(report.Releases, fsm.RangeRelease{First: r.First, Last: r.Last, Epoch: r.Epoch})
		}
	}
	return report
}

// lentUntil returns when nothing of a range can be held by the upstream any more.
func (k *rangeLeases) rangeExpiry(r *fleet.KeyRange) clock.Instant {
	until := k.inheritedExpiry
	for _, l := range k.leased {
		if l.first <= r.Last && l.last >= r.First {
			until = max(until, l.expiry)
		}
	}
	return until
}

func overlaps(holds []HeldRange, first, last uint32) bool {
	return slices.ContainsFunc(holds, func(h HeldRange) bool { return h.First <= last && h.Last >= first })
}

// superseded returns the ranges that a view gives to earlier starts of the
// upstream. They ended before the one that the keyring follows began, also if
// an earlier process of this router lent to them.
func (k *rangeLeases) releaseEarlierStarts(view *fleet.View) []session.RangeReport {
	if k.boot == "" {
		return nil
	}
	var reports []session.RangeReport
	for service, space := range view.KeySpaces {
		byBoot := map[string][]fsm.RangeRelease{}
		for i := range space.Ranges {
			if r := &space.Ranges[i]; r.Phase != fleet.ShardFree && r.Owner == k.self && r.Boot != k.boot {
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

// end returns the ranges of an upstream whose process has ended: it holds
// nothing.
func (k *rangeLeases) releaseAll(view *fleet.View) session.RangeReport {
	report := session.RangeReport{Service: k.service, Boot: k.boot}
	for _, phase := range []fleet.ShardPhase{fleet.ShardGranted, fleet.ShardRevoking} {
		for _, r := range k.owned(view, phase) {
			report.Releases = append(report.Releases, fsm.RangeRelease{First: r.First, Last: r.Last, Epoch: r.Epoch})
		}
	}
	k.leased = nil
	return report
}
