package executor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
	"endivespring/internal/verdict"
)

const (
	rangeSimSeeds     = 400
	rangeSimTime      = 25 * time.Second
	rangeSimStep      = 20 * time.Millisecond
	rangeSimKeys      = 8 // ranges that control grants one by one, each of equal size
	rangeSimRouters   = 3
	rangeSimLease     = 5 * time.Second
	rangeSimHeartbeat = 800 * time.Millisecond
)

// heldKeys is a lease of a simulated upstream.
type heldKeys struct {
	epoch fleet.Epoch
	until clock.Instant
}

// simUpstream is an upstream that learns its keys by requests. Its clock is slow by
// clockDrift.
type simUpstream struct {
	boot  string
	holds [rangeSimKeys]heldKeys
	seen  [rangeSimKeys]fleet.Epoch
	// busyUntil is how long work on the keys goes on after a release.
	busyUntil [rangeSimKeys]clock.Instant
}

// rangeTransit is a request or an answer under way.
type rangeTransit struct {
	at      clock.Instant
	sent    clock.Instant
	arrived clock.Instant
	router  int
	life    int
	request RangeRequest
	hold    time.Duration
	// boot is the start of the upstream that the request was written to.
	boot string
	// answer is set for an answer under way, and for an outcome that the router finds
	// by its timeout.
	answer *RangeResponse
	silent bool
}

// rangeWorld drives executors whose upstreams learn their keys by requests, with a
// simple control, in virtual time. Requests get lost, are answered late or never, are
// repeated and are applied out of order.
type rangeWorld struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand
	now       clock.Instant
	cores     [rangeSimRouters]*Core
	lives     [rangeSimRouters]int
	boots     [rangeSimRouters]int
	newer     [rangeSimRouters]bool   // the upstream started after the router's present life
	heard     [rangeSimRouters]string // boot that the router's present life has a heartbeat of
	upstreams [rangeSimRouters]*simUpstream
	versions  [rangeSimRouters]fleet.Version
	renewed   [rangeSimRouters]clock.Instant
	cut       [rangeSimRouters]clock.Instant
	missed    [rangeSimRouters]bool // a change of the view while cut off
	nextBeat  [rangeSimRouters]clock.Instant
	space     *fleet.KeySpace
	transit   []rangeTransit
	seenKinds map[string]int
}

func newRangeWorld(t *testing.T, seed uint64, kinds map[string]int) *rangeWorld {
	w := &rangeWorld{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), space: fleet.NewKeySpace("s"), seenKinds: kinds}
	for i := range rangeSimRouters {
		w.upstreams[i] = &simUpstream{}
		w.restartUpstream(i)
		w.restartRouter(i)
	}
	return w
}

func (w *rangeWorld) router(i int) fleet.RouterID { return fleet.RouterID(fmt.Sprintf("r%d", i)) }

func (w *rangeWorld) restartUpstream(i int) {
	w.boots[i]++
	w.newer[i] = true
	w.upstreams[i] = &simUpstream{boot: fmt.Sprintf("%d/%d", i, w.boots[i])}
	w.nextBeat[i] = w.now.Add(time.Duration(w.random.IntN(900)) * time.Millisecond)
}

func (w *rangeWorld) restartRouter(i int) {
	w.lives[i]++
	w.cores[i] = New(w.router(i), "dc")
	w.heard[i], w.newer[i] = "", false
	service := fleet.Service{Name: "s", Keyed: true, Ranged: true, Profile: fleet.UpstreamProfile{GrantsBy: fleet.GrantByRequest}}
	change := &fleet.Change{Full: true, To: 1, Preset: &fleet.Preset{Services: []fleet.Service{service}}, KeySpaces: []fleet.KeySpace{*w.space.Clone()}}
	assert.Assert(w.t, w.cores[i].SetView(w.now, change))
	w.versions[i], w.renewed[i] = 1, 0
}

func (w *rangeWorld) chance(percent int) bool { return w.random.IntN(100) < percent }

// publish sends the key space to the routers that control reaches.
func (w *rangeWorld) publish() {
	w.space.Revision++
	for i, core := range w.cores {
		if w.now < w.cut[i] {
			w.missed[i] = true
			continue
		}
		w.versions[i]++
		change := &fleet.Change{From: w.versions[i] - 1, To: w.versions[i], KeySpaces: []fleet.KeySpace{*w.space.Clone()}}
		assert.Assert(w.t, core.SetView(w.now, change))
	}
}

// control renews the routers' leases, frees the ranges of routers that it has lost, and
// grants and revokes ranges at random.
func (w *rangeWorld) control() {
	changed := false
	for i := range w.cores {
		switch {
		case w.now >= w.cut[i]:
			if w.missed[i] {
				w.missed[i] = false
				w.versions[i]++
				assert.Assert(w.t, w.cores[i].SetView(w.now, &fleet.Change{From: w.versions[i] - 1, To: w.versions[i], KeySpaces: []fleet.KeySpace{*w.space.Clone()}}))
			}
			w.renewed[i] = w.now
			w.cores[i].SetRangeLease(w.now.Add(rangeSimLease))
		case w.renewed[i] != 0 && w.now.Sub(w.renewed[i]) > rangeSimLease+rangeSimStep:
			changed = w.free(func(r *fleet.KeyRange) bool { return r.Owner == w.router(i) }) || changed
		}
	}
	for i := range w.space.Ranges {
		r := &w.space.Ranges[i]
		switch {
		case r.Phase == fleet.ShardFree && w.chance(20):
			changed = w.grant(r) || changed
		case r.Phase == fleet.ShardGranted && w.chance(1):
			r.Phase, changed = fleet.ShardRevoking, true
		}
	}
	if changed {
		w.publish()
	}
}

// grant grants a range, or the first part of it, to a router whose upstream control
// knows.
func (w *rangeWorld) grant(r *fleet.KeyRange) bool {
	i := w.random.IntN(rangeSimRouters)
	if w.now < w.cut[i] || w.heard[i] == "" {
		return false
	}
	if keys := r.Size() / rangeSimSize; keys > 1 && w.chance(50) {
		w.space.Split(r.First + uint32(w.random.IntN(keys-1)+1)*rangeSimSize)
		return true
	}
	w.space.LastEpoch++
	r.Phase, r.Owner, r.Boot, r.Epoch = fleet.ShardGranted, w.router(i), w.heard[i], w.space.LastEpoch
	return true
}

const rangeSimSize = fleet.KeyCount / rangeSimKeys

func (w *rangeWorld) free(lost func(r *fleet.KeyRange) bool) bool {
	changed := false
	for i := range w.space.Ranges {
		if r := &w.space.Ranges[i]; r.Phase != fleet.ShardFree && lost(r) {
			*r = fleet.KeyRange{First: r.First, Last: r.Last, Epoch: r.Epoch}
			changed = true
		}
	}
	return changed
}

// deliver applies a request at the upstream that it was written to, unless that has
// exited, and answers it unless it is silent.
func (w *rangeWorld) deliver(m *rangeTransit) {
	u := w.upstreams[m.router]
	if u.boot != m.boot {
		return
	}
	first, last := int(m.request.First/rangeSimSize), int(m.request.Last/rangeSimSize)
	result, answerAt := RangeApplied, w.now.Add(rangeSimStep)
	if m.request.Kind == GrantRange {
		result = u.grant(first, last, m.request.Epoch, m.arrived.Add(time.Duration(float64(m.hold)*(1+clockDrift))))
	} else {
		answerAt = max(answerAt, u.release(w.now, first, last, m.request.Epoch, time.Duration(w.random.IntN(600))*time.Millisecond))
	}
	if !m.silent && answerAt.Sub(m.sent) <= w.timeout(&m.request) {
		w.transit = append(w.transit, rangeTransit{at: answerAt, router: m.router, life: m.life, request: m.request, answer: &RangeResponse{Number: m.request.Number, Result: result, Handover: "h"}})
	}
}

func (u *simUpstream) grant(first, last int, epoch fleet.Epoch, until clock.Instant) RangeResult {
	for key := first; key <= last; key++ {
		if u.seen[key] > epoch {
			return RangeFenced
		}
	}
	for key := first; key <= last; key++ {
		u.seen[key], u.holds[key] = epoch, heldKeys{epoch: epoch, until: until}
	}
	return RangeApplied
}

func (u *simUpstream) release(now clock.Instant, first, last int, epoch fleet.Epoch, work time.Duration) clock.Instant {
	ended := now
	for key := first; key <= last; key++ {
		if h := &u.holds[key]; h.until > now && h.epoch <= epoch {
			u.busyUntil[key] = min(h.until, now.Add(work))
			h.until = now
		}
		ended = max(ended, u.busyUntil[key])
	}
	return ended
}

func (w *rangeWorld) timeout(r *RangeRequest) time.Duration {
	if r.Kind == ReleaseRange {
		return ReleaseTimeout
	}
	return RangeRequestTimeout
}

// send writes the requests of a core, some of them late, and decides their fate.
func (w *rangeWorld) send(i int, out *Output) {
	for _, request := range out.RangeRequests {
		m := rangeTransit{router: i, life: w.lives[i], request: request, boot: w.upstreams[i].boot, sent: w.now}
		hold, ok := request.Hold(w.now)
		if request.Kind == GrantRange && !ok || w.chance(3) {
			w.transit = append(w.transit, rangeTransit{at: w.now.Add(rangeSimStep), router: i, life: w.lives[i], request: request, answer: &RangeResponse{Number: request.Number, Result: RangeNotSent}})
			continue
		}
		m.hold, m.at = hold, w.now.Add(time.Duration(w.random.IntN(3))*rangeSimStep)
		m.arrived = m.at
		switch w.random.IntN(10) {
		case 0: // applied late; the time counts from the arrival
			m.silent, m.at = true, w.now.Add(2*time.Second+time.Duration(w.random.IntN(10000))*time.Millisecond)
			w.seenKinds["late "+request.Kind.String()]++
		case 1: // applied, the answer is lost
			m.silent = true
		case 2: // arrives shortly before the timeout
			m.at = w.now.Add(w.timeout(&request) - rangeSimStep)
			m.arrived = m.at
		}
		w.transit = append(w.transit, m, rangeTransit{at: w.now.Add(w.timeout(&request)), router: i, life: w.lives[i], request: request, answer: &RangeResponse{Number: request.Number, Result: RangeUnanswered}})
	}
}

func (w *rangeWorld) step() {
	w.now = w.now.Add(rangeSimStep)
	w.disturb()
	var later, due []rangeTransit
	for _, m := range w.transit {
		if m.at <= w.now {
			due = append(due, m)
		} else {
			later = append(later, m)
		}
	}
	w.transit = later
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for i := range due {
		m := &due[i]
		switch {
		case m.answer == nil:
			w.deliver(m)
		case m.life == w.lives[m.router]:
			w.seenKinds[m.request.Kind.String()+" "+m.answer.Result.String()]++
			w.cores[m.router].CompleteRangeRequest(w.now, *m.answer)
		}
	}
	w.control()
	for i, core := range w.cores {
		if w.now >= w.nextBeat[i] {
			w.beat(i)
		}
		if core.Deadline() <= w.now {
			core.Tick(w.now)
		}
		out := core.Take()
		w.send(i, &out)
		w.report(i, &out)
	}
	w.check()
}

// beat sends a heartbeat to the router; control learns of the upstream's start.
func (w *rangeWorld) beat(i int) {
	w.nextBeat[i] = w.now.Add(rangeSimHeartbeat)
	u := fleet.Upstream{Name: fmt.Sprintf("u%d", i), Service: "s", Boot: w.upstreams[i].boot, Slots: 2}
	w.cores[i].Announce(w.now, u)
	w.cores[i].Heartbeat(w.now, &Heartbeat{Upstream: u, Newer: w.newer[i]})
	w.heard[i] = u.Boot
}

// report frees the ranges that a router reports as released, if control hears of it.
func (w *rangeWorld) report(i int, out *Output) {
	if w.now < w.cut[i] {
		return
	}
	changed := false
	for _, report := range out.RangeReports {
		for _, release := range report.Releases {
			changed = w.free(func(r *fleet.KeyRange) bool {
				return r.HeldBy(w.router(i), report.Boot) && r.First >= release.First && r.Last <= release.Last && r.Epoch <= release.Epoch
			}) || changed
		}
	}
	if changed {
		w.seenKinds["released"]++
		w.publish()
	}
}

func (w *rangeWorld) disturb() {
	i := w.random.IntN(rangeSimRouters)
	switch w.random.IntN(300) {
	case 0:
		w.restartRouter(i)
		if w.now < w.cut[i] {
			w.cut[i] = w.now
		}
	case 1:
		w.restartUpstream(i)
	case 2:
		w.cut[i] = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
	case 3: // the upstream exits, and starts again after the router has found out
		w.restartUpstream(i)
		w.cores[i].UpstreamEnded(w.now)
	}
}

// check verifies that at most one upstream holds a key or works on it.
func (w *rangeWorld) check() {
	for key := range rangeSimKeys {
		holder := -1
		for i, u := range w.upstreams {
			if u.holds[key].until <= w.now && u.busyUntil[key] <= w.now {
				continue
			}
			if holder >= 0 {
				w.t.Fatalf("seed %d: at %v upstreams %d (%s, %+v) and %d (%s, %+v) hold key %d; view %+v", w.seed, w.now.Sub(clock.Instant(time.Hour)),
					holder, w.upstreams[holder].boot, w.upstreams[holder].holds[key], i, u.boot, u.holds[key], key, *w.space.Find(uint32(key) * rangeSimSize))
			}
			holder = i
		}
	}
}

// TestRequestedLeasesAreExclusive checks that at most one upstream holds a key, whatever
// happens to the requests that grant and release it, and that ranges do move.
func TestRequestedLeasesAreExclusive(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(rangeSimSeeds) {
		w := newRangeWorld(t, seed, kinds)
		for end := w.now.Add(rangeSimTime); w.now < end; {
			w.step()
		}
	}
	t.Logf("%v", kinds)
	for _, kind := range []string{"released", "late grant", "late release", "grant applied", "grant unanswered", "grant not-sent", "release applied", "release unanswered"} {
		assert.Assert(t, kinds[kind] > 0, "nothing of the kind %s", kind)
	}
}

// TestFencedGrantEndsItsEpoch has the upstream refuse a grant for a higher epoch. The
// grant is not sent again, the range is released and reported under that epoch, and its
// keys are refused meanwhile.
func TestFencedGrantEndsItsEpoch(t *testing.T) {
	s := newRangeFixture(t)
	s.grantByRequest(t)
	s.setPhase(t, fleet.ShardGranted)
	_, out := s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, len(out.RangeRequests), 1)
	s.CompleteRangeRequest(s.now, RangeResponse{Number: out.RangeRequests[0].Number, Result: RangeFenced, Status: 409})
	out = s.Take()
	assert.Equal(t, len(out.RangeRequests), 1)
	release := out.RangeRequests[0]
	assert.Equal(t, release.Kind, ReleaseRange)
	assert.Equal(t, s.submitKey(5).Reason, verdict.ReasonNotOwner)
	s.now = s.now.Add(maxRequestedLease)
	s.CompleteRangeRequest(s.now, RangeResponse{Number: release.Number, Result: RangeApplied, Handover: "h"})
	out = s.Take()
	assert.DeepEqual(t, out.RangeReports, []session.RangeReport{{Service: "s", Boot: "1", Releases: []fsm.RangeRelease{{First: 0, Last: 32767, Epoch: 7, Handover: "h"}}}})
	for range 50 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.SetRangeLease(s.now.Add(5 * time.Second))
		s.Tick(s.now)
		_, out = s.sendHeartbeat(Heartbeat{})
		assert.Equal(t, len(out.RangeRequests), 0, "the refused grant was sent again")
	}
}

// grantByRequest makes the fixture's upstreams learn their ranges by requests.
func (s *rangeFixture) grantByRequest(t *testing.T) {
	t.Helper()
	service := fleet.Service{Name: "s", Keyed: true, Ranged: true, QueueLimit: 18, Profile: fleet.UpstreamProfile{GrantsBy: fleet.GrantByRequest}}
	s.version++
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, Preset: &fleet.Preset{Services: []fleet.Service{service}}}))
}

// TestOneLostRenewalCostsNoKey loses the answer to every second grant. The keys are
// served all the time once they were confirmed.
func TestOneLostRenewalCostsNoKey(t *testing.T) {
	s := newRangeFixture(t)
	s.grantByRequest(t)
	s.setPhase(t, fleet.ShardGranted)
	_, out := s.sendHeartbeat(Heartbeat{})
	type lost struct {
		at     clock.Instant
		number uint64
	}
	var unanswered []lost
	granted, sent := false, 0
	for range 3000 {
		for _, request := range out.RangeRequests {
			if sent++; sent%2 == 0 {
				unanswered = append(unanswered, lost{s.now.Add(RangeRequestTimeout), request.Number})
				continue
			}
			s.CompleteRangeRequest(s.now, RangeResponse{Number: request.Number, Result: RangeApplied})
			granted = true
		}
		for len(unanswered) > 0 && unanswered[0].at <= s.now {
			s.CompleteRangeRequest(s.now, RangeResponse{Number: unanswered[0].number, Result: RangeUnanswered})
			unanswered = unanswered[1:]
		}
		if granted {
			assert.Equal(t, s.rangeRefusal(s.now, &call.Call{KeyNumber: 5}), verdict.ReasonNone)
		}
		s.now = s.now.Add(10 * time.Millisecond)
		s.SetRangeLease(s.now.Add(5 * time.Second))
		if s.Deadline() <= s.now {
			s.Tick(s.now)
		}
		out = s.Take()
	}
	assert.Assert(t, sent > 20 && sent < 60, "%d grants in 30 s", sent)
}

// TestRequestedLeaseEndsInTime checks that a lease ends by Until even if the grant
// arrives just before its timeout, at an upstream whose clock is slow by clockDrift.
func TestRequestedLeaseEndsInTime(t *testing.T) {
	for left := RangeRequestTimeout; left < 12*time.Second; left += 7 * time.Millisecond {
		now := clock.Instant(time.Hour)
		r := RangeRequest{Until: now.Add(left), MaxHold: maxHold}
		hold, ok := r.Hold(now)
		if !ok {
			assert.Assert(t, hold < minHold)
			continue
		}
		assert.Assert(t, hold <= maxHold)
		end := now.Add(RangeRequestTimeout).Add(hold + hold*2/100)
		assert.Assert(t, end <= r.Until, "%v left: the lease ends %v late", left, end.Sub(r.Until))
	}
}

// TestGrantInFlightOutlivesTheUpstream lets the upstream exit while a grant is in flight,
// which its next start may receive. The range is reported only once the outcome of the
// grant is known, or its lease has ended.
func TestGrantInFlightOutlivesTheUpstream(t *testing.T) {
	for _, result := range []RangeResult{RangeNotSent, RangeUnanswered} {
		s := newRangeFixture(t)
		s.grantByRequest(t)
		s.now = s.now.Add(maxRequestedLease)
		s.SetRangeLease(s.now.Add(5 * time.Second))
		s.setPhase(t, fleet.ShardGranted)
		_, out := s.sendHeartbeat(Heartbeat{})
		assert.Equal(t, len(out.RangeRequests), 1)
		grant := out.RangeRequests[0]
		s.UpstreamEnded(s.now)
		assert.Equal(t, len(s.Take().RangeReports), 0)
		s.CompleteRangeRequest(s.now, RangeResponse{Number: grant.Number, Result: result})
		if result == RangeUnanswered {
			assert.Equal(t, len(s.Take().RangeReports), 0)
			s.now = grant.Until
			s.Tick(s.now)
		}
		out = s.Take()
		assert.Equal(t, len(out.RangeReports), 1)
		assert.Equal(t, len(out.RangeRequests), 0)
	}
}

// TestRangesOfAnEarlierStartAreFreeAfterALossOfPower starts the router and then the
// upstream, as after a loss of power. The ranges of the upstream's earlier start are
// reported at once; beside an upstream that is older than the router's process they are
// only once leases that an earlier process may have sent have ended.
func TestRangesOfAnEarlierStartAreFreeAfterALossOfPower(t *testing.T) {
	for _, newer := range []bool{true, false} {
		s := newRangeFixture(t)
		s.grantByRequest(t)
		s.setPhase(t, fleet.ShardGranted)
		s.upstream.Boot = "2"
		_, out := s.sendHeartbeat(Heartbeat{Newer: newer})
		assert.Equal(t, len(out.RangeReports) == 1, newer)
		s.now = s.now.Add(maxRequestedLease)
		s.Tick(s.now)
		_, out = s.sendHeartbeat(Heartbeat{})
		assert.Equal(t, len(out.RangeReports), 1)
	}
}

// TestRangesOfAnotherServiceAreFreed gives the address of an upstream to one of another
// service. The ranges of the earlier one come free once the leases that were sent have
// ended, and the present one is not asked to release them.
func TestRangesOfAnotherServiceAreFreed(t *testing.T) {
	s := newRangeFixture(t)
	s.grantByRequest(t)
	s.now = s.now.Add(maxRequestedLease)
	s.SetRangeLease(s.now.Add(5 * time.Second))
	s.setPhase(t, fleet.ShardGranted)
	_, out := s.sendHeartbeat(Heartbeat{})
	grant := out.RangeRequests[0]
	s.CompleteRangeRequest(s.now, RangeResponse{Number: grant.Number, Result: RangeApplied})
	s.version++
	services := []fleet.Service{s.view.Preset.Services[0], s.view.Preset.Services[0]}
	services[1].Name = "t"
	assert.Assert(t, s.SetView(s.now, &fleet.Change{From: s.version - 1, To: s.version, Preset: &fleet.Preset{Services: services}}))
	s.upstream.Service, s.upstream.Boot = "t", "2"
	s.Announce(s.now, s.upstream)
	_, out = s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, len(out.RangeReports)+len(out.RangeRequests), 0)
	s.now = grant.Until
	s.Tick(s.now)
	_, out = s.sendHeartbeat(Heartbeat{})
	assert.Equal(t, len(out.RangeRequests), 0)
	assert.DeepEqual(t, out.RangeReports[0], session.RangeReport{Service: "s", Boot: "1", Releases: []fsm.RangeRelease{{First: 0, Last: 32767, Epoch: 7}}})
}
