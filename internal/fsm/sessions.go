package fsm

import (
	"slices"

	"endivespring/internal/fleet"
)

// openSession registers a router under a new session, once for each nonce. What an earlier
// process of the router knew of its upstream is carried over: when it started, and that it
// has announced its departure. That lasts beyond the end of the router's session.
func (s *State) openSession(c *OpenSession, change *fleet.Change) Result {
	for _, o := range s.OpenedSessions {
		if o.Nonce == c.Nonce {
			return Result{Accepted: true, Session: o.Session}
		}
	}
	s.LastSession++
	s.OpenedSessions = append(s.OpenedSessions, OpenedSession{Nonce: c.Nonce, Session: s.LastSession, Router: c.Router.ID})
	router := c.Router
	router.Session = s.LastSession
	earlier, ok := s.View.Routers[router.ID]
	if !ok {
		earlier = s.takeFormer(router.ID)
	}
	router.LastDeparture = router.LastDeparture.Later(earlier.LastDeparture)
	router.EarlierStart = earlier.LatestStart()
	if router.Upstream.Boot == "" || router.Upstream.Boot == earlier.DepartedBoot {
		router.DepartedBoot = earlier.DepartedBoot
	}
	change.Routers = append(change.Routers, router)
	return Result{Accepted: true, Session: s.LastSession}
}

// closeSessions closes sessions, frees their shards and removes the routers registered
// under them.
func (s *State) closeSessions(term uint64, c *CloseSessions, change *fleet.Change) Result {
	if c.Term != term {
		return Result{Reason: "proposed under an earlier term"}
	}
	closed := map[fleet.Session]bool{}
	for _, session := range c.Sessions {
		closed[session] = true
	}
	hadClosedSession := map[fleet.RouterID]bool{}
	for _, o := range s.OpenedSessions {
		hadClosedSession[o.Router] = hadClosedSession[o.Router] || closed[o.Session]
	}
	s.OpenedSessions = slices.DeleteFunc(s.OpenedSessions, func(o OpenedSession) bool { return closed[o.Session] })
	for id, router := range s.View.Routers {
		if closed[router.Session] {
			change.Removed = append(change.Removed, id)
		}
	}
	slices.Sort(change.Removed)
	for _, id := range change.Removed {
		s.rememberFormer(s.View.Routers[id])
	}
	for shard := range s.View.Shards.All() {
		if shard.Phase != fleet.ShardFree && closed[shard.Session] {
			change.Shards = append(change.Shards, freeShard(shard))
		}
	}
	// A router that restarted has a newer session. Its upstream keeps its ranges
	// under that session unless it has restarted too.
	s.freeRangesIf(change, func(service string, r *fleet.KeyRange) bool {
		router, ok := s.View.Routers[r.Owner]
		restarted := router.Upstream.Boot != r.Boot && !s.grantedByRequest(service) && !router.Upstream.StartedBefore(router.EarlierStart)
		return hadClosedSession[r.Owner] && (!ok || closed[router.Session] || restarted)
	})
	return Result{Accepted: true}
}

// rememberFormer keeps what a router whose session ends knew of its upstream.
func (s *State) rememberFormer(r fleet.Router) {
	former := fleet.Router{ID: r.ID, DepartedBoot: r.DepartedBoot, EarlierStart: r.LatestStart(), LastDeparture: r.LastDeparture}
	if former == (fleet.Router{ID: r.ID}) {
		return
	}
	s.FormerRouters = append(s.FormerRouters, former)
	if len(s.FormerRouters) > maxFormerRouters {
		s.FormerRouters = slices.Delete(s.FormerRouters, 0, len(s.FormerRouters)-maxFormerRouters)
	}
}

// takeFormer returns what is remembered of a router, and forgets it.
func (s *State) takeFormer(id fleet.RouterID) fleet.Router {
	i := slices.IndexFunc(s.FormerRouters, func(r fleet.Router) bool { return r.ID == id })
	if i < 0 {
		return fleet.Router{}
	}
	former := s.FormerRouters[i]
	s.FormerRouters = slices.Delete(s.FormerRouters, i, i+1)
	return former
}

// updateRouter replaces a router's registration. If its upstream has restarted, the
// ranges of the earlier start are freed. A start before the latest known one proves no
// restart: the router reports the ranges that it finds to be free.
func (s *State) updateRouter(c *UpdateRouter, change *fleet.Change) Result {
	current, ok := s.View.Routers[c.Router.ID]
	if !ok || current.Session != c.Router.Session {
		return Result{Reason: "session is not current"}
	}
	router := c.Router
	router.EarlierStart = current.EarlierStart
	router.LastDeparture = router.LastDeparture.Later(current.LastDeparture)
	if current != router {
		change.Routers = append(change.Routers, router)
	}
	if boot := router.Upstream.Boot; boot != "" && boot != current.Upstream.Boot && !current.StartedEarlier(&router.Upstream) {
		// A restarted upstream holds none of the ranges of its earlier start.
		s.freeRangesIf(change, func(service string, r *fleet.KeyRange) bool {
			return r.Owner == c.Router.ID && r.Boot != boot && !s.grantedByRequest(service)
		})
	}
	return Result{Accepted: true}
}

// freeShard returns a shard without an owner. It keeps its epoch, so that the next grant
// gets a higher one.
func freeShard(shard fleet.Shard) fleet.Shard {
	return fleet.Shard{ID: shard.ID, Phase: fleet.ShardFree, Epoch: shard.Epoch}
}
