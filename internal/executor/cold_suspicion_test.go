package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

const testHeartbeatInterval = 870 * time.Millisecond

// Guards against an upstream that became cold while it was out of use, and gets full load until
// its next heartbeat.
func TestUpstreamIsPacedWhenItComesIntoUseAgain(t *testing.T) {
	steady := func(s *loadFixture) {
		for range 3 {
			s.Heartbeat(s.now, &Heartbeat{Upstream: s.upstream})
			s.now = s.now.Add(testHeartbeatInterval)
		}
	}
	dataCentre := func(s *loadFixture, out bool) {
		version := s.ViewVersion()
		assert.Assert(t, s.SetView(s.now, &fleet.Change{From: version, To: version + 1, DataCentres: []fleet.DataCentreSetting{{Name: "d", Out: out}}}))
	}
	upstream := func(s *loadFixture, out bool) {
		version := s.ViewVersion()
		assert.Assert(t, s.SetView(s.now, &fleet.Change{From: version, To: version + 1, Upstreams: []fleet.UpstreamSetting{{Name: "u", Out: out}}}))
	}
	for name, back := range map[string]func(s *loadFixture){
		"data centre": func(s *loadFixture) {
			dataCentre(s, true)
			steady(s)
			dataCentre(s, false)
		},
		"upstream set out of use": func(s *loadFixture) {
			upstream(s, true)
			steady(s)
			upstream(s, false)
		},
		"heartbeats lost for a while": func(s *loadFixture) {
			s.Leave(s.now)
			s.now = s.now.Add(10 * time.Second)
			s.Announce(s.now, s.upstream)
		},
		"another session": func(s *loadFixture) {
			s.SetLease(s.now, 2, clock.Never, clock.Never)
		},
		"another start": func(s *loadFixture) {
			u := s.upstream
			u.Boot, u.StartMillis = "2", 2000
			s.Announce(s.now, u)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadFixture(t)
			u := s.upstream
			u.StartMillis = 1000
			s.Announce(s.now, u)
			steady(s)
			assert.Equal(t, s.limiter.PaceDelay(s.now, 0), time.Duration(0), "in use")
			back(s)
			began := s.now
			for beat := range 4 {
				paced := s.limiter.Cold(s.now)
				assert.Equal(t, paced, beat == 0, "after %d heartbeats", beat)
				for end := began.Add(time.Duration(beat+1) * testHeartbeatInterval); s.now < end; {
					s.advance(10*time.Millisecond, func() { s.submitCall(nil) })
				}
				s.Heartbeat(s.now, &Heartbeat{Upstream: s.upstream})
			}
			early := 0
			for _, at := range s.started {
				if at >= began && at < began.Add(testHeartbeatInterval) {
					early++
				}
			}
			assert.Assert(t, early > 0 && early <= 17+maxPaceExcess, "%d calls until the next heartbeat", early)
		})
	}
}

// A cold upstream stays paced for as long as it says, and one without heartbeats is not paced for
// ever.
func TestSuspicionEnds(t *testing.T) {
	s := newLoadFixture(t)
	u := s.upstream
	u.Boot, u.StartMillis = "2", 1000
	s.Announce(s.now, u)
	assert.Assert(t, s.limiter.Cold(s.now.Add(suspicionTime-1)) && !s.limiter.Cold(s.now.Add(suspicionTime)))
	s.Heartbeat(s.now, &Heartbeat{Upstream: u, ColdFor: 8 * time.Second})
	assert.Assert(t, s.limiter.Cold(s.now.Add(8*time.Second-1)) && !s.limiter.Cold(s.now.Add(8*time.Second)))
	early := &Heartbeat{Upstream: u}
	s.Observe(s.now, early)
	assert.Assert(t, !s.limiter.Cold(s.now))
	s.suspectCold(s.now)
	s.Observe(s.now, early)
	assert.Assert(t, s.limiter.Cold(s.now), "a heartbeat from before counts again")
}
