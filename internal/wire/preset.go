package wire

import (
	"time"

	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/wire/wirepb"
)

// FromPreset converts a preset to its message; nil gives nil.
func FromPreset(p *fleet.Preset) *wirepb.Preset {
	if p == nil {
		return nil
	}
	return &wirepb.Preset{
		Version: uint64(p.Version), Name: p.Name, Number: p.Number, Base: p.Base,
		Services: fromServices(p.Services), Routes: fromRoutes(p.Routes), Limits: fromCallerLimits(&p.Limits),
	}
}

// ToPreset converts a message to a preset; nil gives nil.
func ToPreset(p *wirepb.Preset) *fleet.Preset {
	if p == nil {
		return nil
	}
	return &fleet.Preset{
		Version: fleet.Version(p.GetVersion()), Name: p.GetName(), Number: p.GetNumber(), Base: p.GetBase(),
		Services: toServices(p.GetServices()), Routes: toRoutes(p.GetRoutes()), Limits: *toCallerLimits(p.GetLimits()),
	}
}

func fromPresetChange(c *fleet.PresetChange) *wirepb.PresetChange {
	if c == nil {
		return nil
	}
	return &wirepb.PresetChange{
		Version: uint64(c.Version), Name: c.Name, Number: c.Number, Base: c.Base, Limits: fromCallerLimits(&c.Limits),
		Services: fromServices(c.Services), Routes: fromRoutes(c.Routes), RemovedServices: c.RemovedServices, RemovedRoutes: c.RemovedRoutes,
	}
}

func toPresetChange(c *wirepb.PresetChange) *fleet.PresetChange {
	if c == nil {
		return nil
	}
	return &fleet.PresetChange{
		Version: fleet.Version(c.GetVersion()), Name: c.GetName(), Number: c.GetNumber(), Base: c.GetBase(), Limits: *toCallerLimits(c.GetLimits()),
		Services: toServices(c.GetServices()), Routes: toRoutes(c.GetRoutes()), RemovedServices: c.GetRemovedServices(), RemovedRoutes: c.GetRemovedRoutes(),
	}
}

func fromServices(services []fleet.Service) []*wirepb.Service {
	return lo.Map(services, func(s fleet.Service, _ int) *wirepb.Service { return fromService(s) })
}

func toServices(services []*wirepb.Service) []fleet.Service {
	return lo.Map(services, func(s *wirepb.Service, _ int) fleet.Service { return toService(s) })
}

func fromService(s fleet.Service) *wirepb.Service {
	return &wirepb.Service{
		Name: s.Name, Keyed: s.Keyed, Ranged: s.Ranged, Shards: s.Shards,
		Operations: lo.Map(s.Operations, func(o fleet.Operation, _ int) *wirepb.Operation {
			return &wirepb.Operation{Name: o.Name, Idempotent: o.Idempotent, DeadlineNs: int64(o.Deadline)}
		}),
		HedgeQuantile: s.HedgeQuantile, HedgeBudget: s.HedgeBudget, RetryBudget: s.RetryBudget,
		QueueLimit: int32(s.QueueLimit), RecordWindowNs: int64(s.RecordWindow), Profile: fromProfile(&s.Profile),
	}
}

func toService(s *wirepb.Service) fleet.Service {
	return fleet.Service{
		Name: s.GetName(), Keyed: s.GetKeyed(), Ranged: s.GetRanged(), Shards: s.GetShards(),
		Operations: lo.Map(s.GetOperations(), func(o *wirepb.Operation, _ int) fleet.Operation {
			return fleet.Operation{Name: o.GetName(), Idempotent: o.GetIdempotent(), Deadline: time.Duration(o.GetDeadlineNs())}
		}),
		HedgeQuantile: s.GetHedgeQuantile(), HedgeBudget: s.GetHedgeBudget(), RetryBudget: s.GetRetryBudget(),
		QueueLimit: int(s.GetQueueLimit()), RecordWindow: time.Duration(s.GetRecordWindowNs()), Profile: toProfile(s.GetProfile()),
	}
}

func fromProfile(p *fleet.UpstreamProfile) *wirepb.UpstreamProfile {
	return &wirepb.UpstreamProfile{
		HealthPath: p.HealthPath, MaxConnections: int32(p.MaxConnections), Protocol: p.Protocol, Tls: p.TLS,
		ColdTimeNs: int64(p.ColdTime), ColdRate: p.ColdRate, WarmUpNs: int64(p.WarmUp), GrantsBy: string(p.GrantsBy),
	}
}

func toProfile(p *wirepb.UpstreamProfile) fleet.UpstreamProfile {
	return fleet.UpstreamProfile{
		HealthPath: p.GetHealthPath(), MaxConnections: int(p.GetMaxConnections()), Protocol: p.GetProtocol(), TLS: p.GetTls(),
		ColdTime: time.Duration(p.GetColdTimeNs()), ColdRate: p.GetColdRate(), WarmUp: time.Duration(p.GetWarmUpNs()),
		GrantsBy: fleet.GrantMechanism(p.GetGrantsBy()),
	}
}

func fromRoutes(routes []fleet.Route) []*wirepb.Route {
	return lo.Map(routes, func(r fleet.Route, _ int) *wirepb.Route {
		return &wirepb.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent,
			TimeoutNs: int64(r.Timeout), ObjectiveNs: int64(r.Objective), Priority: int32(r.Priority),
			MaxUpstreams: int32(r.MaxUpstreams), Split: r.Split,
			Targets: lo.Map(r.Targets, func(t fleet.Target, _ int) *wirepb.Target {
				return &wirepb.Target{Service: t.Service, Weight: int32(t.Weight)}
			}),
		}
	})
}

func toRoutes(routes []*wirepb.Route) []fleet.Route {
	return lo.Map(routes, func(r *wirepb.Route, _ int) fleet.Route {
		return fleet.Route{
			Name: r.GetName(), Host: r.GetHost(), Prefix: r.GetPrefix(), Idempotent: r.GetIdempotent(),
			Timeout: time.Duration(r.GetTimeoutNs()), Objective: time.Duration(r.GetObjectiveNs()), Priority: int(r.GetPriority()),
			MaxUpstreams: int(r.GetMaxUpstreams()), Split: r.GetSplit(),
			Targets: lo.Map(r.GetTargets(), func(t *wirepb.Target, _ int) fleet.Target {
				return fleet.Target{Service: t.GetService(), Weight: int(t.GetWeight())}
			}),
		}
	})
}

func fromCallerLimits(l *fleet.CallerLimits) *wirepb.CallerLimits {
	if l == nil {
		return nil
	}
	return &wirepb.CallerLimits{
		MaxHeader: int64(l.MaxHeader), MaxBody: int64(l.MaxBody),
		HeaderTimeoutNs: int64(l.HeaderTimeout), IdleTimeoutNs: int64(l.IdleTimeout),
	}
}

func toCallerLimits(l *wirepb.CallerLimits) *fleet.CallerLimits {
	return &fleet.CallerLimits{
		MaxHeader: int(l.GetMaxHeader()), MaxBody: int(l.GetMaxBody()),
		HeaderTimeout: time.Duration(l.GetHeaderTimeoutNs()), IdleTimeout: time.Duration(l.GetIdleTimeoutNs()),
	}
}
