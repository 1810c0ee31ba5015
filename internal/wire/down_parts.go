package wire

import "endivespring/internal/wire/wirepb"

const (
	// maxPart is the size of a part of a change, in bytes. A part passes a narrow link
	// within the time that a router waits for a message.
	maxPart = 8 << 10
	// maxParts bounds the number of parts of one change, and so its size.
	maxParts = 1 << 15
)

// SplitDown returns a message to a router as the messages to send: its change in parts of at
// most maxPart bytes. A message with a small change is returned as it is.
func SplitDown(d *wirepb.SessionDown) []*wirepb.SessionDown {
	change := d.GetChange()
	if len(change) <= maxPart {
		return []*wirepb.SessionDown{d}
	}
	left := uint32((len(change) - 1) / maxPart)
	parts := make([]*wirepb.SessionDown, 0, left+1)
	for ; left > 0; left-- {
		parts = append(parts, &wirepb.SessionDown{Session: d.GetSession(), Change: change[:maxPart:maxPart], PartsLeft: left})
		change = change[maxPart:]
	}
	last := &wirepb.SessionDown{
		Session: d.GetSession(), Sequence: d.GetSequence(), Lease: d.GetLease(), Change: change, Redirect: d.GetRedirect(), Leader: d.GetLeader(),
		Rejected: d.GetRejected(), Closed: d.GetClosed(), OwnershipNs: d.GetOwnershipNs(), ViewNs: d.GetViewNs(), Version: d.GetVersion(), Members: d.GetMembers(),
	}
	return append(parts, last)
}
