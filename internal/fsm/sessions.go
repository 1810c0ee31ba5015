package fsm

import (
	"slices"

	"endivespring/internal/fleet"
)

func (s *State) openSession(c *OpenSession, change *fleet.Change) Result {
	for _, o := range s.Opened {
		if o.Nonce == c.Nonce {
			return Result{Accepted: true, Session: o.Session}
		}
	}
	s.LastSession++
	s.Opened = append(s.Opened, OpenedSession{Nonce: c.Nonce, Session: s.LastSession, Router: c.Router.ID})
	router := c.Router
	router.Session = s.LastSession
	change.Routers = append(change.Routers, router)
	return Result{Accepted: true, Session: s.LastSession}
}

func (s *State) closeSessions(term uint64, c *CloseSessions, change *fleet.Change) Result {
	if c.Term != term {
		return Result{Reason: "proposed under an earlier term"}
	}
	closed := map[fleet.Session]bool{}
	for _, session := range c.Sessions {
		closed[session] = true
	}
	ended := map[fleet.RouterID]bool{}
	for _, o := range s.Opened {
		ended[o.Router] = ended[o.Router] || closed[o.Session]
	}
	s.Opened = slices.DeleteFunc(s.Opened, func(o OpenedSession) bool { return closed[o.Session] })
	for id, router := range s.View.Routers {
		if closed[router.Session] {
			change.Removed = append(change.Removed, id)
		}
	}
	slices.Sort(change.Removed)
	for shard := range s.View.Shards.All() {
		if shard.Phase != fleet.ShardFree && closed[shard.Session] {
			change.Shards = append(change.Shards, freed(shard))
		}
	}
	// A router that started again has a newer session, by which its upstream goes
	// on if it is the same start.
	s.freeLostRanges(change, func(r *fleet.KeyRange) bool {
		router, ok := s.View.Routers[r.Owner]
		return ended[r.Owner] && (!ok || closed[router.Session] || router.Upstream.Boot != r.Boot)
	})
	return Result{Accepted: true}
}

func (s *State) updateRouter(c *UpdateRouter, change *fleet.Change) Result {
	current, ok := s.View.Routers[c.Router.ID]
	if !ok || current.Session != c.Router.Session {
		return Result{Reason: "session is not current"}
	}
	if current != c.Router {
		change.Routers = append(change.Routers, c.Router)
	}
	if boot := c.Router.Upstream.Boot; boot != "" && boot != current.Upstream.Boot {
		// Another start of the upstream holds nothing of what the last one had.
		s.freeLostRanges(change, func(r *fleet.KeyRange) bool { return r.Owner == c.Router.ID && r.Boot != boot })
	}
	return Result{Accepted: true}
}

func freed(shard fleet.Shard) fleet.Shard {
	return fleet.Shard{ID: shard.ID, Phase: fleet.ShardFree, Epoch: shard.Epoch}
}
