package wire

import (
	"time"

	"endivespring/internal/fleet"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

// FromUp converts a renewal of the named fleet.
func FromUp(u *session.Up, fleetName string) *wirepb.SessionUp {
	router := &wirepb.Router{Id: string(u.Router.ID)}
	if u.Registers {
		router = FromRouter(u.Router)
	}
	return &wirepb.SessionUp{
		Fleet: fleetName, Nonce: u.Nonce, Session: uint64(u.Session), Sequence: u.Sequence, Applied: uint64(u.Applied),
		Router: router, Releases: FromReleases(u.Releases), Closing: u.Closing, Registers: u.Registers,
	}
}

// ToUp converts a renewal.
func ToUp(u *wirepb.SessionUp) session.Up {
	return session.Up{
		Nonce: u.GetNonce(), Session: fleet.Session(u.GetSession()), Sequence: u.GetSequence(), Applied: fleet.Version(u.GetApplied()),
		Router: ToRouter(u.GetRouter()), Releases: ToReleases(u.GetReleases()), Closing: u.GetClosing(), Registers: u.GetRegisters(),
	}
}

// FromDown converts a message to a router.
func FromDown(d *session.Down) *wirepb.SessionDown {
	return &wirepb.SessionDown{
		Session: uint64(d.Session), Sequence: d.Sequence, Lease: d.Lease, OwnershipNs: int64(d.Ownership), ViewNs: int64(d.View),
		Change: FromChange(d.Change), Redirect: d.Redirect, Leader: d.Leader, Rejected: d.Rejected, Closed: d.Closed, Version: uint64(d.Version),
	}
}

// ToDown converts a message to a router.
func ToDown(d *wirepb.SessionDown) session.Down {
	return session.Down{
		Session: fleet.Session(d.GetSession()), Sequence: d.GetSequence(), Lease: d.GetLease(),
		Ownership: time.Duration(d.GetOwnershipNs()), View: time.Duration(d.GetViewNs()),
		Change: ToChange(d.GetChange()), Redirect: d.GetRedirect(), Leader: d.GetLeader(), Rejected: d.GetRejected(), Closed: d.GetClosed(), Version: fleet.Version(d.GetVersion()),
	}
}
