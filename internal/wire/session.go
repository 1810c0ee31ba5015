package wire

import (
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/fleet"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

// FromUp converts a renewal of the named fleet to its message. The router is
// sent in full only if the renewal registers it; otherwise its ID is enough.
func FromUp(u *session.RouterMessage, fleetName string) *wirepb.SessionUp {
	router := &wirepb.Router{Id: string(u.Router.ID)}
	if u.Registers {
		router = FromRouter(u.Router)
	}
	return &wirepb.SessionUp{
		Fleet: fleetName, Nonce: u.Nonce, Session: uint64(u.Session), Sequence: u.Sequence, Applied: uint64(u.Applied),
		Router: router, Releases: FromReleases(u.Releases), Closing: u.Closing, NeedFull: u.NeedFull, Registers: u.Registers,
		RangeReports: fromRangeReports(u.RangeReports), KeyLoads: fromKeyLoads(u.KeyLoads), RunTimeNs: int64(u.RunTime), Limit: int32(u.Limit),
		Differences: u.Differences,
	}
}

// ToUp converts a message to a renewal. The caller checks the fleet.
func ToUp(u *wirepb.SessionUp) session.RouterMessage {
	return session.RouterMessage{
		Nonce: u.GetNonce(), Session: fleet.Session(u.GetSession()), Sequence: u.GetSequence(), Applied: fleet.Version(u.GetApplied()),
		Router: ToRouter(u.GetRouter()), Releases: ToReleases(u.GetReleases()), Closing: u.GetClosing(), NeedFull: u.GetNeedFull(), Registers: u.GetRegisters(),
		RangeReports: toRangeReports(u.GetRangeReports()), KeyLoads: toKeyLoads(u.GetKeyLoads()), RunTime: time.Duration(u.GetRunTimeNs()), Limit: int(u.GetLimit()),
		Differences: u.GetDifferences(),
	}
}

// EncodeChange encodes a view change for messages to routers; nil gives no
// bytes.
func EncodeChange(c *fleet.Change) ([]byte, error) {
	if c == nil {
		return nil, nil
	}
	data, err := proto.Marshal(FromChange(c))
	return data, eris.Wrap(err, "encode change")
}

// FromDown converts a message to a router. The change is passed in encoded
// form, so that one encoding serves all routers.
func FromDown(d *session.ControlMessage, change []byte) *wirepb.SessionDown {
	return &wirepb.SessionDown{
		Session: uint64(d.Session), Sequence: d.Sequence, Lease: d.Lease, OwnershipNs: int64(d.Ownership), ViewNs: int64(d.View),
		Change: change, Redirect: d.Redirect, Leader: d.Leader, Rejected: d.Rejected, Closed: d.Closed, Version: uint64(d.Version),
		Members: d.Members,
	}
}

// ToDown converts a message to a router. It returns an error if its change
// cannot be decoded.
func ToDown(d *wirepb.SessionDown) (session.ControlMessage, error) {
	change, err := toEncodedChange(d.GetChange())
	return session.ControlMessage{
		Session: fleet.Session(d.GetSession()), Sequence: d.GetSequence(), Lease: d.GetLease(),
		Ownership: time.Duration(d.GetOwnershipNs()), View: time.Duration(d.GetViewNs()),
		Change: change, Redirect: d.GetRedirect(), Leader: d.GetLeader(), Rejected: d.GetRejected(), Closed: d.GetClosed(), Version: fleet.Version(d.GetVersion()),
		Members: d.GetMembers(),
	}, err
}

func toEncodedChange(data []byte) (*fleet.Change, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var c wirepb.Change
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, eris.Wrap(err, "decode change")
	}
	return ToChange(&c), nil
}
