package wire

import (
	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/wire/wirepb"
)

// FromRouter converts a router's registration to its message.
func FromRouter(r fleet.Router) *wirepb.Router {
	return &wirepb.Router{
		Id: string(r.ID), Session: uint64(r.Session), DataCentre: string(r.DataCentre),
		Address: r.Address, Upstream: fromUpstream(r.Upstream), Leaving: r.Leaving, DepartedBoot: r.DepartedBoot, EarlierStartMs: r.EarlierStart, TakesParts: r.TakesParts,
		LeftName: r.LastDeparture.Name, LeftMs: r.LastDeparture.Millis,
	}
}

// ToRouter converts a message to a router's registration.
func ToRouter(r *wirepb.Router) fleet.Router {
	return fleet.Router{
		ID: fleet.RouterID(r.GetId()), Session: fleet.Session(r.GetSession()), DataCentre: fleet.DataCentre(r.GetDataCentre()),
		Address: r.GetAddress(), Upstream: toUpstream(r.GetUpstream()), Leaving: r.GetLeaving(), DepartedBoot: r.GetDepartedBoot(), EarlierStart: r.GetEarlierStartMs(), TakesParts: r.GetTakesParts(),
		LastDeparture: fleet.Departure{Name: r.GetLeftName(), Millis: r.GetLeftMs()},
	}
}

func fromUpstream(u fleet.Upstream) *wirepb.Upstream {
	return &wirepb.Upstream{
		Name: u.Name, Service: u.Service, Address: u.Address, Boot: u.Boot, Slots: int32(u.Slots),
		ColdSlots: int32(u.ColdSlots), Connections: int32(u.Connections), ChecksGrants: u.ChecksGrants, StartMs: u.StartMillis,
	}
}

func toUpstream(u *wirepb.Upstream) fleet.Upstream {
	return fleet.Upstream{
		Name: u.GetName(), Service: u.GetService(), Address: u.GetAddress(), Boot: u.GetBoot(), Slots: int(u.GetSlots()),
		ColdSlots: int(u.GetColdSlots()), Connections: int(u.GetConnections()), ChecksGrants: u.GetChecksGrants(), StartMillis: u.GetStartMs(),
	}
}

func fromShard(s fleet.Shard) *wirepb.Shard {
	return &wirepb.Shard{
		Service: s.ID.Service, Number: s.ID.Number, Phase: uint32(s.Phase),
		Owner: string(s.Owner), Session: uint64(s.Session), Epoch: uint64(s.Epoch),
	}
}

func toShard(s *wirepb.Shard) fleet.Shard {
	return fleet.Shard{
		ID: fleet.ShardID{Service: s.GetService(), Number: s.GetNumber()}, Phase: fleet.ShardPhase(s.GetPhase()),
		Owner: fleet.RouterID(s.GetOwner()), Session: fleet.Session(s.GetSession()), Epoch: fleet.Epoch(s.GetEpoch()),
	}
}

// FromChange converts a view change to its message; nil gives nil.
func FromChange(c *fleet.Change) *wirepb.Change {
	if c == nil {
		return nil
	}
	return &wirepb.Change{
		From: uint64(c.From), To: uint64(c.To), Full: c.Full, Preset: FromPreset(c.Preset), PresetChange: fromPresetChange(c.PresetChange), Config: uint64(c.Config),
		Routers:   lo.Map(c.Routers, func(r fleet.Router, _ int) *wirepb.Router { return FromRouter(r) }),
		Removed:   lo.Map(c.Removed, func(id fleet.RouterID, _ int) string { return string(id) }),
		Shards:    lo.Map(c.Shards, func(s fleet.Shard, _ int) *wirepb.Shard { return fromShard(s) }),
		KeySpaces: lo.Map(c.KeySpaces, func(s fleet.KeySpace, _ int) *wirepb.KeySpace { return fromKeySpace(s) }),
		KeySpaceChanges: lo.Map(c.KeySpaceChanges, func(s fleet.KeySpaceChange, _ int) *wirepb.KeySpace {
			return fromKeySpace(fleet.KeySpace(s))
		}),
		DataCentres: lo.Map(c.DataCentres, func(d fleet.DataCentreSetting, _ int) *wirepb.NamedSetting {
			return &wirepb.NamedSetting{Name: string(d.Name), Out: d.Out}
		}),
		Upstreams: lo.Map(c.Upstreams, func(u fleet.UpstreamSetting, _ int) *wirepb.NamedSetting {
			return &wirepb.NamedSetting{Name: u.Name, Out: u.Out}
		}),
	}
}

// ToChange converts a message to a view change; nil gives nil.
func ToChange(c *wirepb.Change) *fleet.Change {
	if c == nil {
		return nil
	}
	return &fleet.Change{
		From: fleet.Version(c.GetFrom()), To: fleet.Version(c.GetTo()), Full: c.GetFull(), Preset: ToPreset(c.GetPreset()),
		PresetChange: toPresetChange(c.GetPresetChange()), Config: fleet.Version(c.GetConfig()),
		Routers:   lo.Map(c.GetRouters(), func(r *wirepb.Router, _ int) fleet.Router { return ToRouter(r) }),
		Removed:   lo.Map(c.GetRemoved(), func(id string, _ int) fleet.RouterID { return fleet.RouterID(id) }),
		Shards:    lo.Map(c.GetShards(), func(s *wirepb.Shard, _ int) fleet.Shard { return toShard(s) }),
		KeySpaces: lo.Map(c.GetKeySpaces(), func(s *wirepb.KeySpace, _ int) fleet.KeySpace { return toKeySpace(s) }),
		KeySpaceChanges: lo.Map(c.GetKeySpaceChanges(), func(s *wirepb.KeySpace, _ int) fleet.KeySpaceChange {
			return fleet.KeySpaceChange(toKeySpace(s))
		}),
		DataCentres: lo.Map(c.GetDataCentres(), func(d *wirepb.NamedSetting, _ int) fleet.DataCentreSetting {
			return fleet.DataCentreSetting{Name: fleet.DataCentre(d.GetName()), Out: d.GetOut()}
		}),
		Upstreams: lo.Map(c.GetUpstreams(), func(u *wirepb.NamedSetting, _ int) fleet.UpstreamSetting {
			return fleet.UpstreamSetting{Name: u.GetName(), Out: u.GetOut()}
		}),
	}
}
