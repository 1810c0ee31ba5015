// Package wire converts between the plain types of the decision cores and the
// protocol buffer messages that are sent between processes or stored on disk.
// From functions return messages, To functions return plain types.
package wire

import (
	"github.com/samber/lo"

	"endivespring/internal/clock"
	"endivespring/internal/consensus"
	"endivespring/internal/wire/wirepb"
)

// FromNodeID converts a node identity to its message.
func FromNodeID(id consensus.NodeID) *wirepb.NodeID {
	return &wirepb.NodeID{Name: id.Name, Disk: id.Disk}
}

// ToNodeID converts a message to a node identity; nil gives the zero identity.
func ToNodeID(id *wirepb.NodeID) consensus.NodeID {
	return consensus.NodeID{Name: id.GetName(), Disk: id.GetDisk()}
}

// FromMembership converts a group membership to its message.
func FromMembership(m consensus.Membership) *wirepb.Membership {
	return &wirepb.Membership{
		Voters:   lo.Map(m.Voters, func(id consensus.NodeID, _ int) *wirepb.NodeID { return FromNodeID(id) }),
		Learners: lo.Map(m.Learners, func(id consensus.NodeID, _ int) *wirepb.NodeID { return FromNodeID(id) }),
	}
}

// ToMembership converts a message to a group membership; nil gives an empty
// one.
func ToMembership(m *wirepb.Membership) consensus.Membership {
	return consensus.Membership{
		Voters:   lo.Map(m.GetVoters(), func(id *wirepb.NodeID, _ int) consensus.NodeID { return ToNodeID(id) }),
		Learners: lo.Map(m.GetLearners(), func(id *wirepb.NodeID, _ int) consensus.NodeID { return ToNodeID(id) }),
	}
}

// FromEntry converts a log entry to its message.
func FromEntry(e consensus.Entry) *wirepb.Entry {
	out := &wirepb.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	if e.Membership != nil {
		out.Membership = FromMembership(*e.Membership)
	}
	return out
}

// ToEntry converts a message to a log entry. Only entries that change the
// membership carry one.
func ToEntry(e *wirepb.Entry) consensus.Entry {
	out := consensus.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: consensus.EntryKind(e.GetKind()), Data: e.GetData()}
	if e.GetMembership() != nil {
		out.Membership = lo.ToPtr(ToMembership(e.GetMembership()))
	}
	return out
}

// FromEntries converts log entries to their messages, in order.
func FromEntries(entries []consensus.Entry) []*wirepb.Entry {
	return lo.Map(entries, func(e consensus.Entry, _ int) *wirepb.Entry { return FromEntry(e) })
}

// ToEntries converts messages to log entries, in order.
func ToEntries(entries []*wirepb.Entry) []consensus.Entry {
	return lo.Map(entries, func(e *wirepb.Entry, _ int) consensus.Entry { return ToEntry(e) })
}

// FromSnapshot converts a snapshot to its message; nil gives nil.
func FromSnapshot(s *consensus.Snapshot) *wirepb.Snapshot {
	if s == nil {
		return nil
	}
	return &wirepb.Snapshot{Index: s.Index, Term: s.Term, Membership: FromMembership(s.Membership), Data: s.Data}
}

// ToSnapshot converts a message to a snapshot; nil gives nil.
func ToSnapshot(s *wirepb.Snapshot) *consensus.Snapshot {
	if s == nil {
		return nil
	}
	return &consensus.Snapshot{Index: s.GetIndex(), Term: s.GetTerm(), Membership: ToMembership(s.GetMembership()), Data: s.GetData()}
}

// FromMessage converts a consensus message of the named fleet to its wire form.
func FromMessage(m *consensus.Message, fleet string) *wirepb.ConsensusMessage {
	return &wirepb.ConsensusMessage{
		Kind: uint32(m.Kind), From: FromNodeID(m.From), To: FromNodeID(m.To), Term: m.Term,
		Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit, Entries: FromEntries(m.Entries),
		Reject: m.Reject, Sent: int64(m.Sent), Empty: m.Empty, Transfer: m.Transfer,
		Snapshot: FromSnapshot(m.Snapshot), Fleet: fleet,
	}
}

// ToMessage converts a consensus message from its wire form. The caller checks
// the fleet.
func ToMessage(m *wirepb.ConsensusMessage) *consensus.Message {
	return &consensus.Message{
		Kind: consensus.MessageKind(m.GetKind()), From: ToNodeID(m.GetFrom()), To: ToNodeID(m.GetTo()), Term: m.GetTerm(),
		Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Entries: ToEntries(m.GetEntries()),
		Reject: m.GetReject(), Sent: clock.Instant(m.GetSent()), Empty: m.GetEmpty(), Transfer: m.GetTransfer(),
		Snapshot: ToSnapshot(m.GetSnapshot()),
	}
}

// FromHardState converts a hard state to its message; nil gives nil.
func FromHardState(h *consensus.HardState) *wirepb.HardState {
	if h == nil {
		return nil
	}
	return &wirepb.HardState{Term: h.Term, Vote: FromNodeID(h.Vote)}
}

// ToHardState converts a message to a hard state; nil gives the zero state.
func ToHardState(h *wirepb.HardState) consensus.HardState {
	return consensus.HardState{Term: h.GetTerm(), Vote: ToNodeID(h.GetVote())}
}
