package control

import (
	"fmt"
	"slices"

	"endivespring/internal/fleet"
)

// ResultsKept is how many operator results are remembered for resends.
const ResultsKept = 20000

// State is the replicated state. It is owned by one duty. Invariant: a shard
// has at most one owner, and its epoch grows with each grant.
type State struct {
	View        *fleet.View
	LastSession fleet.Session
	// Results are the latest operator results, oldest first.
	Results []OperatorResult
	// Opened are the sessions that are not closed yet, oldest first.
	Opened []OpenedSession
	// ConfigAt is the view version of the last accepted operator change.
	ConfigAt fleet.Version
	// ShardCounts holds the number of shards of every service ever seen.
	ShardCounts map[string]uint32

	byCommand map[string]OperatorResult
}

// NewState returns an empty state.
func NewState() *State {
	return &State{View: fleet.NewView(), ShardCounts: map[string]uint32{}, byCommand: map[string]OperatorResult{}}
}

// Index rebuilds lookup tables after the exported fields were filled in.
func (s *State) Index() {
	s.byCommand = make(map[string]OperatorResult, len(s.Results))
	for _, r := range s.Results {
		s.byCommand[r.CommandID] = r
	}
}

// Sessions returns the open sessions.
func (s *State) Sessions() []fleet.Session {
	sessions := make([]fleet.Session, 0, len(s.Opened))
	for _, o := range s.Opened {
		sessions = append(sessions, o.Session)
	}
	return sessions
}

// Apply executes a command that was appended under a term. It returns the
// result and the change of the view, which is nil if the view stays as it is.
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
		result = s.release(c.ReleaseShards, change)
	case c.AssignRanges != nil:
		result = s.assignRanges(c.AssignRanges, change)
	case c.ReleaseRanges != nil:
		result = s.releaseRanges(c.ReleaseRanges, change)
	case c.OperatorChange != nil:
		return s.operate(c.OperatorChange, change)
	}
	return s.commit(result, change)
}

// commit merges the change into the view under the next version.
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

func (s *State) release(c *ReleaseShards, change *fleet.Change) Result {
	for _, release := range c.Releases {
		shard := s.View.Shard(release.Shard)
		if shard.OwnedBy(c.Session) && shard.Epoch == release.Epoch {
			change.Shards = append(change.Shards, freed(shard))
		}
	}
	return Result{Accepted: true}
}

// operate executes an operator's command once; a resend gets the first result.
func (s *State) operate(c *OperatorChange, change *fleet.Change) (Result, *fleet.Change) {
	if first, ok := s.byCommand[c.CommandID]; ok && first.Digest == c.Digest {
		return first.Result, nil
	} else if ok {
		return Result{Reason: "command id " + c.CommandID + " was used for another command", Config: s.View.Config, Version: s.View.Version}, nil
	}
	result, preset := s.checkOperator(c)
	if result.Accepted {
		s.fillOperator(c, preset, change)
		change.Config = s.View.Config + 1
	}
	result, changed := s.commit(result, change)
	if result.Accepted {
		s.ConfigAt = result.Version
	}
	s.remember(OperatorResult{CommandID: c.CommandID, Digest: c.Digest, Result: result})
	return result, changed
}

// checkOperator decides whether a command is accepted, and returns the preset
// that it brings into force, if any.
func (s *State) checkOperator(c *OperatorChange) (Result, *fleet.Preset) {
	preset := c.Preset
	switch {
	case c.Amendment != nil:
		if result := s.checkNumber(c.Amendment.Number, c.Amendment.Base); !result.Accepted {
			return result, nil
		}
		if s.View.Preset == nil {
			return Result{Refusal: RefusalConflict, Reason: "no preset is in force"}, nil
		}
		preset = c.Amendment.apply(s.View.Preset)
	case preset != nil && preset.Number > 0:
		if result := s.checkNumber(preset.Number, preset.Base); !result.Accepted {
			return result, nil
		}
	case !c.Unconditional && c.Expected != s.View.Config:
		return Result{Refusal: RefusalConflict, Reason: fmt.Sprintf("expected config version %d, but %d is in force", c.Expected, s.View.Config)}, nil
	}
	if preset == nil {
		return Result{Accepted: true}, nil
	}
	return s.checkPreset(preset), preset
}

// checkNumber compares the numbers of a preset with the one in force.
func (s *State) checkNumber(number, base uint64) Result {
	current := uint64(0)
	if s.View.Preset != nil {
		current = s.View.Preset.Number
	}
	if base != current {
		return Result{Refusal: RefusalConflict, Reason: fmt.Sprintf("built on preset %d, but %d is in force", base, current)}
	}
	if number <= current {
		return Result{Refusal: RefusalInvalid, Reason: fmt.Sprintf("number %d is not above %d, which is in force", number, current)}
	}
	return Result{Accepted: true}
}

func (s *State) checkPreset(preset *fleet.Preset) Result {
	if problem := preset.Problem(); problem != "" {
		return Result{Refusal: RefusalInvalid, Reason: problem}
	}
	for _, service := range preset.Services {
		if service.Ranged {
			continue
		}
		if count, ok := s.ShardCounts[service.Name]; ok && count != service.Shards {
			return Result{Refusal: RefusalInvalid, Reason: fmt.Sprintf("service %s has %d shards, which cannot change to %d", service.Name, count, service.Shards)}
		}
	}
	return Result{Accepted: true}
}

func (s *State) fillOperator(c *OperatorChange, accepted *fleet.Preset, change *fleet.Change) {
	switch {
	case accepted != nil:
		preset := *accepted
		preset.Version = s.View.Config + 1
		change.Preset = &preset
		for _, service := range preset.Services {
			if !service.Ranged {
				s.ShardCounts[service.Name] = service.Shards
			}
		}
	case c.DataCentre != nil:
		change.DataCentres = append(change.DataCentres, *c.DataCentre)
	case c.Upstream != nil:
		change.Upstreams = append(change.Upstreams, *c.Upstream)
	}
}

func (s *State) remember(result OperatorResult) {
	if len(s.Results) >= ResultsKept {
		delete(s.byCommand, s.Results[0].CommandID)
		s.Results = s.Results[1:]
	}
	s.Results = append(s.Results, result)
	s.byCommand[result.CommandID] = result
}

func freed(shard fleet.Shard) fleet.Shard {
	return fleet.Shard{ID: shard.ID, Phase: fleet.ShardFree, Epoch: shard.Epoch}
}
