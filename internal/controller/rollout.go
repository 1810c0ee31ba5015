package controller

import (
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
)

// rollout follows an operators' command from its commit until every router with an
// open session has applied it. Commands that are committed meanwhile are followed
// together once that is the case.
type rollout struct {
	// config is the number of the command that is followed, view the view version
	// that contains it and since when it was committed. All are zero if every
	// command is in force.
	config fleet.Version
	view   fleet.Version
	since  clock.Instant
	// delayed is set once routers were found not to have applied the command
	// within configDelay.
	delayed bool
	// behind is the number of routers that have not applied the command, by the last
	// check.
	behind int
	// newest is the latest command after config, if any.
	newestConfig fleet.Version
	newestView   fleet.Version
	newestSince  clock.Instant
}

// commit records a committed command.
func (r *rollout) commit(now clock.Instant, config, view fleet.Version) {
	if r.pending() {
		r.newestConfig, r.newestView, r.newestSince = config, view, now
		return
	}
	*r = rollout{config: config, view: view, since: now}
}

// pending reports whether a command is followed.
func (r *rollout) pending() bool { return r.config != 0 }

// next follows the latest command after the present one, or none.
func (r *rollout) next() {
	*r = rollout{config: r.newestConfig, view: r.newestView, since: r.newestSince}
}
