package wire

import (
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/wire/wirepb"
)

// EncodeCommand encodes a command for a log entry.
func EncodeCommand(c *fsm.Command) ([]byte, error) {
	data, err := proto.Marshal(fromCommand(c))
	return data, eris.Wrap(err, "encode command")
}

// DecodeCommand decodes a command from a log entry.
func DecodeCommand(data []byte) (*fsm.Command, error) {
	var c wirepb.Command
	if err := proto.Unmarshal(data, &c); err != nil {
		return nil, eris.Wrap(err, "decode command")
	}
	return toCommand(&c), nil
}

func fromCommand(c *fsm.Command) *wirepb.Command {
	out := &wirepb.Command{}
	switch {
	case c.OpenSession != nil:
		out.OpenSession = &wirepb.OpenSession{Router: FromRouter(c.OpenSession.Router), Nonce: c.OpenSession.Nonce}
	case c.CloseSessions != nil:
		out.CloseSessions = &wirepb.CloseSessions{
			Term:     c.CloseSessions.Term,
			Sessions: lo.Map(c.CloseSessions.Sessions, func(s fleet.Session, _ int) uint64 { return uint64(s) }),
		}
	case c.UpdateRouter != nil:
		out.UpdateRouter = &wirepb.UpdateRouter{Router: FromRouter(c.UpdateRouter.Router)}
	case c.Assign != nil:
		out.Assign = &wirepb.Assign{
			Grants:  lo.Map(c.Assign.Grants, func(g fsm.Grant, _ int) *wirepb.Grant { return fromGrant(g) }),
			Revokes: lo.Map(c.Assign.Revokes, func(id fleet.ShardID, _ int) *wirepb.ShardID { return fromShardID(id) }),
		}
	case c.ReleaseShards != nil:
		out.ReleaseShards = &wirepb.ReleaseShards{
			Session: uint64(c.ReleaseShards.Session), Releases: FromReleases(c.ReleaseShards.Releases),
		}
	case c.OperatorChange != nil:
		out.OperatorChange = fromOperatorChange(c.OperatorChange)
	case c.AssignRanges != nil:
		out.AssignRanges = &wirepb.AssignRanges{Revision: c.AssignRanges.Revision, Next: fromKeySpace(c.AssignRanges.Next)}
	case c.ReleaseRanges != nil:
		r := c.ReleaseRanges
		out.ReleaseRanges = &wirepb.ReleaseRanges{
			Service: r.Service, Router: string(r.Router), Boot: r.Boot, Releases: fromRangeReleases(r.Releases),
		}
	case c.KeepLoads != nil:
		out.KeepLoads = fromKeptLoads(c.KeepLoads)
	}
	return out
}

func toCommand(c *wirepb.Command) *fsm.Command {
	out := &fsm.Command{}
	switch {
	case c.GetOpenSession() != nil:
		out.OpenSession = &fsm.OpenSession{Router: ToRouter(c.GetOpenSession().GetRouter()), Nonce: c.GetOpenSession().GetNonce()}
	case c.GetCloseSessions() != nil:
		out.CloseSessions = &fsm.CloseSessions{
			Term:     c.GetCloseSessions().GetTerm(),
			Sessions: lo.Map(c.GetCloseSessions().GetSessions(), func(s uint64, _ int) fleet.Session { return fleet.Session(s) }),
		}
	case c.GetUpdateRouter() != nil:
		out.UpdateRouter = &fsm.UpdateRouter{Router: ToRouter(c.GetUpdateRouter().GetRouter())}
	case c.GetAssign() != nil:
		out.Assign = &fsm.Assign{
			Grants:  lo.Map(c.GetAssign().GetGrants(), func(g *wirepb.Grant, _ int) fsm.Grant { return toGrant(g) }),
			Revokes: lo.Map(c.GetAssign().GetRevokes(), func(id *wirepb.ShardID, _ int) fleet.ShardID { return toShardID(id) }),
		}
	case c.GetReleaseShards() != nil:
		out.ReleaseShards = &fsm.ReleaseShards{
			Session: fleet.Session(c.GetReleaseShards().GetSession()), Releases: ToReleases(c.GetReleaseShards().GetReleases()),
		}
	case c.GetOperatorChange() != nil:
		out.OperatorChange = toOperatorChange(c.GetOperatorChange())
	case c.GetAssignRanges() != nil:
		out.AssignRanges = &fsm.AssignRanges{Revision: c.GetAssignRanges().GetRevision(), Next: toKeySpace(c.GetAssignRanges().GetNext())}
	case c.GetReleaseRanges() != nil:
		r := c.GetReleaseRanges()
		out.ReleaseRanges = &fsm.ReleaseRanges{
			Service: r.GetService(), Router: fleet.RouterID(r.GetRouter()), Boot: r.GetBoot(), Releases: toRangeReleases(r.GetReleases()),
		}
	case c.GetKeepLoads() != nil:
		out.KeepLoads = toKeptLoads(c.GetKeepLoads())
	}
	return out
}

func fromShardID(id fleet.ShardID) *wirepb.ShardID {
	return &wirepb.ShardID{Service: id.Service, Number: id.Number}
}

func toShardID(id *wirepb.ShardID) fleet.ShardID {
	return fleet.ShardID{Service: id.GetService(), Number: id.GetNumber()}
}

func fromGrant(g fsm.Grant) *wirepb.Grant {
	return &wirepb.Grant{Shard: fromShardID(g.Shard), Router: string(g.Router), Session: uint64(g.Session)}
}

func toGrant(g *wirepb.Grant) fsm.Grant {
	return fsm.Grant{Shard: toShardID(g.GetShard()), Router: fleet.RouterID(g.GetRouter()), Session: fleet.Session(g.GetSession())}
}

// FromReleases converts releases of shards to their messages.
func FromReleases(releases []fsm.ShardRelease) []*wirepb.Release {
	return lo.Map(releases, func(r fsm.ShardRelease, _ int) *wirepb.Release {
		return &wirepb.Release{Shard: fromShardID(r.Shard), Epoch: uint64(r.Epoch)}
	})
}

// ToReleases converts messages to releases of shards.
func ToReleases(releases []*wirepb.Release) []fsm.ShardRelease {
	return lo.Map(releases, func(r *wirepb.Release, _ int) fsm.ShardRelease {
		return fsm.ShardRelease{Shard: toShardID(r.GetShard()), Epoch: fleet.Epoch(r.GetEpoch())}
	})
}

func fromOperatorChange(c *fsm.OperatorChange) *wirepb.OperatorChange {
	out := &wirepb.OperatorChange{
		CommandId: c.CommandID, Operator: c.Operator, Expected: uint64(c.Expected), Preset: FromPreset(c.Preset),
		Digest: c.Digest, Unconditional: c.Unconditional, Amendment: fromAmendment(c.Amendment),
	}
	if c.DataCentre != nil {
		out.DataCentre = &wirepb.NamedSetting{Name: string(c.DataCentre.Name), Out: c.DataCentre.Out}
	}
	if c.Upstream != nil {
		out.Upstream = &wirepb.NamedSetting{Name: c.Upstream.Name, Out: c.Upstream.Out}
	}
	return out
}

func toOperatorChange(c *wirepb.OperatorChange) *fsm.OperatorChange {
	out := &fsm.OperatorChange{
		CommandID: c.GetCommandId(), Operator: c.GetOperator(), Expected: fleet.Version(c.GetExpected()), Preset: ToPreset(c.GetPreset()),
		Digest: c.GetDigest(), Unconditional: c.GetUnconditional(), Amendment: toAmendment(c.GetAmendment()),
	}
	if c.GetDataCentre() != nil {
		out.DataCentre = &fleet.DataCentreSetting{Name: fleet.DataCentre(c.GetDataCentre().GetName()), Out: c.GetDataCentre().GetOut()}
	}
	if c.GetUpstream() != nil {
		out.Upstream = &fleet.UpstreamSetting{Name: c.GetUpstream().GetName(), Out: c.GetUpstream().GetOut()}
	}
	return out
}

func fromAmendment(a *fsm.Amendment) *wirepb.Amendment {
	if a == nil {
		return nil
	}
	return &wirepb.Amendment{
		Number: a.Number, Base: a.Base, Routes: fromRoutes(a.Routes), Services: fromServices(a.Services),
		Limits: fromCallerLimits(a.Limits), RemovedRoutes: a.RemovedRoutes, RemovedServices: a.RemovedServices,
	}
}

func toAmendment(a *wirepb.Amendment) *fsm.Amendment {
	if a == nil {
		return nil
	}
	out := &fsm.Amendment{
		Number: a.GetNumber(), Base: a.GetBase(), Routes: toRoutes(a.GetRoutes()), Services: toServices(a.GetServices()),
		RemovedRoutes: a.GetRemovedRoutes(), RemovedServices: a.GetRemovedServices(),
	}
	if a.GetLimits() != nil {
		out.Limits = toCallerLimits(a.GetLimits())
	}
	return out
}
