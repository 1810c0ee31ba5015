package fsm_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/wire"
)

func centre(id string, expected fleet.Version, name string, out bool) *fsm.Command {
	return &fsm.Command{OperatorChange: &fsm.OperatorChange{
		CommandID: id, Expected: expected, Digest: uint64(100 + len(name)), DataCentre: &fleet.DataCentreSetting{Name: fleet.DataCentre(name), Out: out},
	}}
}

func presetOf(id string, expected fleet.Version, shards uint32) *fsm.Command {
	p := &fleet.Preset{Name: id, Services: []fleet.Service{{Name: "timetable", Shards: shards}}}
	return &fsm.Command{OperatorChange: &fsm.OperatorChange{CommandID: id, Expected: expected, Digest: uint64(shards), Preset: p}}
}

// restored returns a state after encoding and decoding, as after a restart.
func restored(t *testing.T, s *fsm.State) *fsm.State {
	t.Helper()
	data, err := wire.EncodeState(s)
	assert.NilError(t, err)
	out, err := wire.DecodeState(data)
	assert.NilError(t, err)
	return out
}

// TestOperatorCommands applies operators' commands in order to a state that is kept in
// memory and to one that is stored and restored before each command. Both must give the
// same results.
func TestOperatorCommands(t *testing.T) {
	steps := []struct {
		command  *fsm.Command
		accepted bool
		config   fleet.Version
		reason   string
	}{
		{presetOf("a", 0, 8), true, 1, ""},
		{presetOf("b", 0, 8), false, 1, "expected config version 0, but 1 is in force"}, // the second of two commands with equal numbers is refused
		{presetOf("a", 0, 8), true, 1, ""},                                              // a resend gets the first result
		{centre("c", 1, "lodz", true), true, 2, ""},
		{presetOf("b", 1, 8), false, 1, "expected config version 0, but 1 is in force"}, // so does a resend of a refused command
		{presetOf("a", 2, 8), true, 1, ""},                                              // also one with a newer expected version
		{centre("a", 2, "warszawa", true), false, 2, "command id a was used for another command"},
		{presetOf("d", 2, 16), false, 2, "service timetable has 8 shards, which cannot change to 16"},
		{centre("e", 2, "lodz", false), true, 3, ""},
		{centre("f", 9, "lodz", false), false, 3, "expected config version 9, but 3 is in force"},
	}
	lives, stored := fsm.NewState(), fsm.NewState()
	for i, step := range steps {
		before := lives.View.Preset
		result, _ := lives.Apply(1, step.command)
		assert.Equal(t, result.Accepted, step.accepted, "step %d: %s", i, result.Reason)
		assert.Equal(t, result.Config, step.config, "step %d", i)
		assert.Equal(t, result.Reason, step.reason, "step %d", i)
		assert.Assert(t, before == nil || lives.View.Preset.Version >= before.Version)
		stored = restored(t, stored)
		again, _ := stored.Apply(1, step.command)
		assert.Equal(t, again, result, "step %d after a restart", i)
	}
	assert.DeepEqual(t, restored(t, lives).View.Full(), stored.View.Full())
}

func TestOperatorResultsAreBounded(t *testing.T) {
	s := fsm.NewState()
	for i := range fsm.MaxOperatorResults + 10 {
		s.Apply(1, centre(fmt.Sprint(i), fleet.Version(i), "lodz", i%2 == 0))
	}
	assert.Equal(t, len(s.Results), fsm.MaxOperatorResults)
	result, _ := s.Apply(1, centre(fmt.Sprint(fsm.MaxOperatorResults+9), 0, "lodz", true))
	assert.Assert(t, result.Accepted, "a resend of a recent command gets its result")
	result, _ = s.Apply(1, centre("0", 0, "lodz", true))
	assert.Assert(t, !result.Accepted, "a resend of a discarded command is refused by its expected version")
}

// TestShardsMove checks each command that changes the owner of a shard.
func TestShardsMove(t *testing.T) {
	s := fsm.NewState()
	apply := func(term uint64, c fsm.Command) fsm.Result {
		result, _ := s.Apply(term, &c)
		return result
	}
	open := func(router, nonce string) fleet.Session {
		return apply(1, fsm.Command{OpenSession: &fsm.OpenSession{Router: fleet.Router{ID: fleet.RouterID(router)}, Nonce: nonce}}).Session
	}
	id := fleet.ShardID{Service: "timetable"}
	grant := func(router string, session fleet.Session) fleet.Shard {
		apply(1, fsm.Command{Assign: &fsm.Assign{Grants: []fsm.Grant{{Shard: id, Router: fleet.RouterID(router), Session: session}}}})
		return s.View.Shard(id)
	}
	one := open("r1", "n1")
	assert.Equal(t, open("r1", "n1"), one, "a resend opens nothing")
	assert.Equal(t, grant("r1", one+7).Phase, fleet.ShardFree, "no grant to an unknown session")
	assert.Equal(t, grant("r1", one).Epoch, fleet.Epoch(1))
	two := open("r2", "n2")
	assert.Equal(t, grant("r2", two).Owner, fleet.RouterID("r1"), "a granted shard is not granted again")

	release := func(session fleet.Session, epoch fleet.Epoch) fleet.ShardPhase {
		apply(1, fsm.Command{ReleaseShards: &fsm.ReleaseShards{Session: session, Releases: []fsm.ShardRelease{{Shard: id, Epoch: epoch}}}})
		return s.View.Shard(id).Phase
	}
	assert.Equal(t, release(two, 1), fleet.ShardGranted, "only the owner releases")
	assert.Equal(t, release(one, 9), fleet.ShardGranted, "only the current epoch is released")
	apply(1, fsm.Command{Assign: &fsm.Assign{Revokes: []fleet.ShardID{id}}})
	assert.Equal(t, s.View.Shard(id).Phase, fleet.ShardRevoking)
	assert.Equal(t, grant("r2", two).Owner, fleet.RouterID("r1"), "a shard being revoked is not free")
	assert.Equal(t, release(one, 1), fleet.ShardFree)
	assert.Equal(t, grant("r2", two).Epoch, fleet.Epoch(2))

	closes := func(entryTerm, term uint64) fleet.ShardPhase {
		apply(entryTerm, fsm.Command{CloseSessions: &fsm.CloseSessions{Term: term, Sessions: []fleet.Session{two}}})
		return s.View.Shard(id).Phase
	}
	assert.Equal(t, closes(2, 1), fleet.ShardGranted, "closing under an earlier term has no effect")
	assert.Equal(t, closes(2, 2), fleet.ShardFree)
	_, open2 := s.View.Routers["r2"]
	assert.Assert(t, !open2)
	assert.Equal(t, grant("r1", one).Epoch, fleet.Epoch(3))
}
