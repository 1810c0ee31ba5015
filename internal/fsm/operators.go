package fsm

import (
	"fmt"

	"endivespring/internal/fleet"
)

// applyOperatorChange executes an operator's command at most once. A resend returns the
// result of the first execution.
func (s *State) applyOperatorChange(c *OperatorChange, change *fleet.Change) (Result, *fleet.Change) {
	if first, ok := s.resultsByCommand[c.CommandID]; ok && first.Digest == c.Digest {
		return first.Result, nil
	} else if ok {
		return Result{Reason: "command id " + c.CommandID + " was used for another command", Config: s.View.Config, Version: s.View.Version}, nil
	}
	result, preset := s.checkOperatorChange(c)
	if result.Accepted {
		s.fillOperatorChange(c, preset, change)
		change.Config = s.View.Config + 1
	}
	result, changed := s.commit(result, change)
	if result.Accepted {
		s.ConfigChangedAt = result.Version
	}
	s.recordResult(OperatorResult{CommandID: c.CommandID, Digest: c.Digest, Result: result})
	return result, changed
}

// AcceptedBefore returns the result of the first execution of a command that was accepted. It
// reports false for commands that are unknown or were refused.
func (s *State) AcceptedBefore(c *OperatorChange) (Result, bool) {
	first, ok := s.resultsByCommand[c.CommandID]
	return first.Result, ok && first.Digest == c.Digest && first.Result.Accepted
}

// checkOperatorChange decides whether a command is accepted, and returns the preset that
// it brings into force, if any.
func (s *State) checkOperatorChange(c *OperatorChange) (Result, *fleet.Preset) {
	preset := c.Preset
	switch {
	case c.Amendment != nil:
		if result := s.checkPresetNumber(c.Amendment.Number, c.Amendment.Base); !result.Accepted {
			return result, nil
		}
		if s.View.Preset == nil {
			return Result{Refusal: RefusalConflict, Reason: "no preset is in force"}, nil
		}
		preset = c.Amendment.apply(s.View.Preset)
	case preset != nil && preset.Number > 0:
		if result := s.checkPresetNumber(preset.Number, preset.Base); !result.Accepted {
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

// checkPresetNumber checks the number and base of a new preset against the preset in
// force.
func (s *State) checkPresetNumber(number, base uint64) Result {
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

// checkPreset checks the contents of a new preset. The number of shards of a service
// cannot change.
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

// fillOperatorChange adds an accepted command to the change of the view.
func (s *State) fillOperatorChange(c *OperatorChange, accepted *fleet.Preset, change *fleet.Change) {
	switch {
	case accepted != nil:
		preset := *accepted
		preset.Version = s.View.Config + 1
		setPreset(change, s.View.Preset, &preset)
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

// setPreset adds a new preset to a change of the view: as the difference from the one in
// force, if there is one.
func setPreset(change *fleet.Change, current, next *fleet.Preset) {
	if current == nil {
		change.Preset = next
		return
	}
	change.PresetChange = fleet.DiffPresets(current, next)
}

// recordResult keeps the result of a command for resends and discards the oldest one
// above MaxOperatorResults.
func (s *State) recordResult(result OperatorResult) {
	if len(s.Results) >= MaxOperatorResults {
		delete(s.resultsByCommand, s.Results[0].CommandID)
		s.Results = s.Results[1:]
	}
	s.Results = append(s.Results, result)
	s.resultsByCommand[result.CommandID] = result
}
