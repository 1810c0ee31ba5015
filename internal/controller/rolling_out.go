package controller

import (
	"slices"
	"strings"
	"time"

	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/fleet"
)

const (
	// configDelay is the time after the commit of an operators' command from which
	// routers that have not applied it are logged.
	configDelay = time.Second
	// maxLoggedRouters bounds the names of routers in one event.
	maxLoggedRouters = 8
)

// followRollout logs when the last open session has applied the command that is
// followed, and once which routers have not within configDelay.
func (c *Core) followRollout(now clock.Instant) {
	for c.rollout.pending() {
		behind := c.routersBehind(c.rollout.view)
		c.rollout.behind = len(behind)
		took := now.Sub(c.rollout.since)
		config, view := event.F("config", uint64(c.rollout.config)), event.F("view", uint64(c.rollout.view))
		if len(behind) > 0 {
			if !c.rollout.delayed && took >= configDelay {
				c.rollout.delayed = true
				c.logEvent(event.ConfigDelayed, config, view, event.F("took", took), event.F("routers", joinSome(behind)))
			}
			return
		}
		c.logEvent(event.ConfigInForce, config, view, event.F("took", took))
		c.rollout.next()
	}
}

// RoutersBehind returns how many routers had not applied the operators' commands at the
// last check. It is zero if this process is not leader.
func (c *Core) RoutersBehind() int { return c.rollout.behind }

// routersBehind returns, sorted, the routers whose open session has not reported a
// view version as applied.
func (c *Core) routersBehind(version fleet.Version) []string {
	var behind []string
	for id, router := range c.state.View.Routers {
		if c.lastReports[router.Session].applied < version {
			behind = append(behind, string(id))
		}
	}
	slices.Sort(behind)
	return behind
}

// joinSome joins the first maxLoggedRouters names, and marks that there are more.
func joinSome(names []string) string {
	if len(names) > maxLoggedRouters {
		return strings.Join(names[:maxLoggedRouters], ", ") + ", ..."
	}
	return strings.Join(names, ", ")
}
