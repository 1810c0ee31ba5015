package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/controller"
	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/lease"
	"endivespring/internal/placement"
	"endivespring/internal/session"
)

// keyMover is the control processes of a service with ranges; commands are committed at all.
type keyMover struct {
	t     *testing.T
	cores []*controller.Core
	now   clock.Instant
}

// newKeyMover returns two processes, of which the first leads, and three owners of keys.
func newKeyMover(t *testing.T) *keyMover {
	m := &keyMover{t: t, now: clock.Instant(time.Hour)}
	limits := placement.Limits{MaxRebalancing: 16, Policy: placement.Policy{ByCapacity: true}}
	leases := lease.Timing{Ownership: time.Hour, View: time.Hour, Margin: time.Millisecond}
	for range 2 {
		m.cores = append(m.cores, controller.New(leases, limits, func(name string) string { return name }))
	}
	service := fleet.Service{Name: "s", Keyed: true, Ranged: true}
	m.commit(1, fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: "p", Preset: &fleet.Preset{Services: []fleet.Service{service}}}})
	for _, name := range []string{"r0", "r1", "r2"} {
		upstream := fleet.Upstream{Name: name, Service: "s", Boot: name, Slots: 9}
		m.commit(1, fsm.Command{OpenSession: &fsm.OpenSession{Nonce: name, Router: fleet.Router{ID: fleet.RouterID(name), Upstream: upstream}}})
	}
	m.lead(0, 1)
	m.now = m.now.Add(20 * time.Second)
	m.commit(1, fsm.Command{AssignRanges: m.plan(0)})
	return m
}

func (m *keyMover) commit(term uint64, command fsm.Command) {
	before := m.cores[0].State().View.KeySpaces["s"]
	for _, core := range m.cores {
		core.ApplyCommitted(m.now, term, &command)
	}
	after := m.cores[0].State().View.KeySpaces["s"]
	for key := uint32(0); before != nil && key < fleet.KeyCount; key += 61 {
		was, is := before.Find(key), after.Find(key)
		if was.Phase != fleet.ShardFree && is.Phase != fleet.ShardFree {
			assert.Assert(m.t, is.Owner == was.Owner && is.Epoch == was.Epoch, "key %d passed from %+v to %+v without being free", key, was, is)
		} else if is.Phase != fleet.ShardFree {
			assert.Assert(m.t, is.Epoch > before.LastEpoch, "key %d granted under an old epoch", key)
		}
	}
}

// plan returns the assignment that a leader proposes within a second, or nil.
func (m *keyMover) plan(leader int) *fsm.AssignRanges {
	for range 40 {
		m.now = m.now.Add(25 * time.Millisecond)
		m.cores[leader].Tick(m.now)
		for _, proposal := range m.cores[leader].Take().Proposals {
			if proposal.AssignRanges != nil {
				return proposal.AssignRanges
			}
		}
	}
	return nil
}

// report sends the loads of every upstream to a leader: 100 requests a second on the first
// keys of r0, more than the 75 it takes, and few elsewhere.
func (m *keyMover) report(leader int) {
	for id, router := range m.cores[leader].State().View.Routers {
		up := session.RouterMessage{Session: router.Session, Sequence: 1, Router: fleet.Router{ID: id}, RunTime: 120 * time.Millisecond, Limit: 9}
		for _, r := range m.cores[leader].State().View.KeySpaces["s"].Ranges {
			if rate := map[bool]float64{true: 100, false: 1}[r.First == 0]; r.Owner == id && r.Phase == fleet.ShardGranted {
				up.KeyLoads = append(up.KeyLoads, session.KeyLoad{First: r.First, Last: r.Last, Rate: rate})
			}
		}
		m.cores[leader].HandleRenewal(m.now, controller.StreamID(router.Session), &up)
	}
}

func (m *keyMover) lead(leader int, term uint64) {
	for i, core := range m.cores {
		core.SetLeadership(m.now, controller.Leadership{IsLeader: i == leader, Term: term, LeaseUntil: clock.Never})
	}
}

// Guards against two owners of a key if the leader fails between the revocation of keys and
// their next grant: the next leader grants them only once they are released, and the late
// plan of the first one is void.
func TestLeaderFailsWhileKeysMove(t *testing.T) {
	m := newKeyMover(t)
	for range 5 {
		m.now = m.now.Add(870 * time.Millisecond)
		m.report(0)
	}
	revocation := m.plan(0)
	assert.Assert(t, revocation != nil && m.cores[0].KeyMoves() > 0, "the overloaded owner gives no keys")
	m.commit(1, fsm.Command{AssignRanges: revocation})

	m.lead(1, 2)
	m.now = m.now.Add(20 * time.Second)
	assert.Assert(t, m.plan(1) == nil, "granted before the release")
	m.commit(2, fsm.Command{AssignRanges: revocation}) // late, from a revision before
	for _, r := range revocation.Next.Ranges {
		if r.Phase == fleet.ShardRevoking {
			m.commit(2, fsm.Command{ReleaseRanges: &fsm.ReleaseRanges{
				Service: "s", Router: r.Owner, Boot: r.Boot, Releases: []fsm.RangeRelease{{First: r.First, Last: r.Last, Epoch: r.Epoch}},
			}})
		}
	}
	grant := m.plan(1)
	assert.Assert(t, grant != nil, "released keys are not granted")
	m.commit(2, fsm.Command{AssignRanges: grant})
	for _, r := range m.cores[1].State().View.KeySpaces["s"].Ranges {
		assert.Equal(t, r.Phase, fleet.ShardGranted)
	}
}

// TestLoadsSurviveAChangeOfLeader commits what the leader keeps of the loads. It must write
// them once in 10 s at most, and the next leader must know the load of a lost owner's keys
// before anyone has reported to it.
func TestLoadsSurviveAChangeOfLeader(t *testing.T) {
	m := newKeyMover(t)
	m.report(0)
	writes := 0
	for end := m.now.Add(25 * time.Second); m.now < end; m.now = m.now.Add(25 * time.Millisecond) {
		m.cores[0].Tick(m.now)
		for _, proposal := range m.cores[0].Take().Proposals {
			if proposal.KeepLoads != nil {
				m.commit(1, proposal)
				writes++
			}
		}
	}
	assert.Assert(t, writes >= 1 && writes <= 3, "%d writes in 25 s", writes)
	m.lead(1, 2)
	m.commit(2, fsm.Command{CloseSessions: &fsm.CloseSessions{Term: 2, Sessions: []fleet.Session{m.cores[1].State().View.Routers["r2"].Session}}})
	m.now = m.now.Add(20 * time.Second)
	m.commit(2, fsm.Command{AssignRanges: m.plan(1)})
	for _, r := range m.cores[1].State().View.KeySpaces["s"].Ranges {
		assert.Assert(t, r.Owner != "r0" || r.First == 0, "the owner with the most load got %+v", r)
	}
}
