package executor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
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
