package fsm

import (
	"endivespring/internal/fleet"
)

// maxFormerRouters is the number of routers without a session that are remembered.
const maxFormerRouters = 1024

// MaxOperatorResults is the number of operator results kept for resends.
const MaxOperatorResults = 20000

// State is the replicated state. It is owned by one duty. Invariant: a shard has at
// most one owner, and its epoch increases with each grant.
type State struct {
	View        *fleet.View
	LastSession fleet.Session
	// Results are the latest operator results, oldest first.
	Results []OperatorResult
	// OpenedSessions are the sessions that are not closed yet, oldest first.
	OpenedSessions []OpenedSession
	// FormerRouters are routers without a session, the one whose session ended first first: what
	// they knew of their upstreams, by which late messages of those are recognized.
	FormerRouters []fleet.Router
	// ConfigChangedAt is the view version of the last accepted operator change.
	ConfigChangedAt fleet.Version
	// ShardCounts holds the number of shards of every service that was ever part of a
	// preset, by name.
	ShardCounts map[string]uint32
	// KeptLoads holds the loads that the leader kept last, by service.
	KeptLoads map[string]*KeptLoads

	// resultsByCommand indexes Results by command ID.
	resultsByCommand map[string]OperatorResult
}

// NewState returns an empty state.
func NewState() *State {
	return &State{View: fleet.NewView(), ShardCounts: map[string]uint32{}, KeptLoads: map[string]*KeptLoads{}, resultsByCommand: map[string]OperatorResult{}}
}

// RebuildIndex rebuilds the index of Results. It must be called after Results was set
// from outside, as on restoring a snapshot.
func (s *State) RebuildIndex() {
	s.resultsByCommand = make(map[string]OperatorResult, len(s.Results))
	for _, r := range s.Results {
		s.resultsByCommand[r.CommandID] = r
	}
}

// Sessions returns the open sessions, oldest first.
func (s *State) Sessions() []fleet.Session {
	sessions := make([]fleet.Session, 0, len(s.OpenedSessions))
	for _, o := range s.OpenedSessions {
		sessions = append(sessions, o.Session)
	}
	return sessions
}

// Apply applies a command that was appended under the given term. It returns the
// result and the change of the view, which is nil if the view is unchanged.
func (s *State) Apply(term uint64, c *Command) (Result, *fleet.Change) {
	change := &fleet.Change{From: s.View.Version}
	var result Result
	switch {
	case c.OpenSession != nil:
		result = s.openSession(c.OpenSession, change)
	case c.CloseSessions != nil:
		result = s.closeSessions(term, c.CloseSessions, change)
	case c.UpdateRouter != nil:
		result = s.updateRouter(c.UpdateRouter, change)
	case c.Assign != nil:
		result = s.assign(c.Assign, change)
	case c.ReleaseShards != nil:
		result = s.releaseShards(c.ReleaseShards, change)
	case c.AssignRanges != nil:
		result = s.assignRanges(c.AssignRanges, change)
	case c.ReleaseRanges != nil:
		result = s.releaseRanges(c.ReleaseRanges, change)
	case c.KeepLoads != nil:
		result = s.keepLoads(c.KeepLoads)
	case c.OperatorChange != nil:
		return s.applyOperatorChange(c.OperatorChange, change)
	}
	return s.commit(result, change)
}

// commit merges the change into the view under the next version, unless it is empty.
func (s *State) commit(result Result, change *fleet.Change) (Result, *fleet.Change) {
	if change.Empty() {
		result.Version = s.View.Version
		result.Config = s.View.Config
		return result, nil
	}
	change.To = s.View.Version + 1
	change.Config = max(change.Config, s.View.Config)
	s.View.Merge(change)
	s.View.Version = change.To
	result.Version = change.To
	result.Config = s.View.Config
	return result, change
}

// assign grants and revokes shards. Only the first use of a shard in a command counts.
func (s *State) assign(c *Assign, change *fleet.Change) Result {
	touched := map[fleet.ShardID]bool{}
	for _, grant := range c.Grants {
		shard := s.View.Shard(grant.Shard)
		router, ok := s.View.Routers[grant.Router]
		if shard.Phase != fleet.ShardFree || touched[shard.ID] || !ok || router.Session != grant.Session {
			continue
		}
		touched[shard.ID] = true
		change.Shards = append(change.Shards, fleet.Shard{
			ID: shard.ID, Phase: fleet.ShardGranted, Owner: router.ID, Session: router.Session, Epoch: shard.Epoch + 1,
		})
	}
	for _, id := range c.Revokes {
		shard := s.View.Shard(id)
		if shard.Phase != fleet.ShardGranted || touched[id] {
			continue
		}
		touched[id] = true
		shard.Phase = fleet.ShardRevoking
		change.Shards = append(change.Shards, shard)
	}
	return Result{Accepted: true}
}

// releaseShards frees shards that the session holds under the given epochs.
func (s *State) releaseShards(c *ReleaseShards, change *fleet.Change) Result {
	for _, release := range c.Releases {
		shard := s.View.Shard(release.Shard)
		if shard.OwnedBy(c.Session) && shard.Epoch == release.Epoch {
			change.Shards = append(change.Shards, freeShard(shard))
		}
	}
	return Result{Accepted: true}
}
