package wire

import (
	"time"

	"github.com/samber/lo"

	"endivespring/internal/balancer"
	"endivespring/internal/fleet"
	"endivespring/internal/gateway"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// FromQuestion converts a question to a router of a fleet to its message.
func FromQuestion(q *gateway.Question, fleetName string) *wirepb.WhereRequest {
	return &wirepb.WhereRequest{
		Fleet: fleetName, Service: q.Service, Operation: q.Operation, Key: []byte(q.Key), Method: q.Method,
		Host: []byte(q.Host), Path: []byte(q.Path), KeyNumber: q.KeyNumber, Numbered: q.Numbered,
	}
}

// ToQuestion converts a message.
func ToQuestion(m *wirepb.WhereRequest) gateway.Question {
	return gateway.Question{
		Service: m.GetService(), Operation: m.GetOperation(), Key: string(m.GetKey()), Method: m.GetMethod(),
		Host: string(m.GetHost()), Path: string(m.GetPath()), KeyNumber: m.GetKeyNumber(), Numbered: m.GetNumbered(),
	}
}

// FromWhereabouts converts the answer to a question to its message. Of the candidates'
// routers it has the name, the upstream and the data centre.
func FromWhereabouts(w *gateway.Whereabouts) *wirepb.WhereReply {
	return &wirepb.WhereReply{
		View: uint64(w.View), Route: w.Route, Service: w.Service, Keyed: w.Keyed, Shard: w.Shard, Phase: uint32(w.Phase),
		Owner: string(w.Owner), Epoch: uint64(w.Epoch), Decision: string(w.Decision), Reason: string(w.Reason), Why: w.Why,
		Targets: lo.Map(w.Targets, func(t fleet.Target, _ int) *wirepb.WhereTarget {
			return &wirepb.WhereTarget{Service: t.Service, Weight: int64(t.Weight)}
		}),
		Candidates: lo.Map(w.Candidates, func(c balancer.Candidate, _ int) *wirepb.WhereCandidate {
			return &wirepb.WhereCandidate{
				Router: string(c.Router.ID), Upstream: c.Router.Upstream.Name, DataCentre: string(c.Router.DataCentre), Remote: c.Remote,
				EstimateNs: int64(c.Estimate), InFlight: int64(c.InFlight), Load: FromLoad(&c.Load), AgeNs: int64(c.Age), Reported: c.Reported,
				LatencyNs: int64(c.Latency), Outliers: int64(c.Outliers), Failing: c.Failing, Full: c.Full, Known: c.Known,
			}
		}),
	}
}

// ToWhereabouts converts a message.
func ToWhereabouts(m *wirepb.WhereReply) gateway.Whereabouts {
	return gateway.Whereabouts{
		View: fleet.Version(m.GetView()), Route: m.GetRoute(), Service: m.GetService(), Keyed: m.GetKeyed(), Shard: m.GetShard(), Phase: fleet.ShardPhase(m.GetPhase()),
		Owner: fleet.RouterID(m.GetOwner()), Epoch: fleet.Epoch(m.GetEpoch()), Decision: gateway.Decision(m.GetDecision()), Reason: verdict.Reason(m.GetReason()), Why: m.GetWhy(),
		Targets: lo.Map(m.GetTargets(), func(t *wirepb.WhereTarget, _ int) fleet.Target {
			return fleet.Target{Service: t.GetService(), Weight: int(t.GetWeight())}
		}),
		Candidates: lo.Map(m.GetCandidates(), func(c *wirepb.WhereCandidate, _ int) balancer.Candidate {
			return balancer.Candidate{
				Router: fleet.Router{ID: fleet.RouterID(c.GetRouter()), DataCentre: fleet.DataCentre(c.GetDataCentre()), Upstream: fleet.Upstream{Name: c.GetUpstream()}},
				Remote: c.GetRemote(), Estimate: time.Duration(c.GetEstimateNs()), InFlight: int(c.GetInFlight()), Load: ToLoad(c.GetLoad()),
				Age: time.Duration(c.GetAgeNs()), Reported: c.GetReported(), Latency: time.Duration(c.GetLatencyNs()), Outliers: int(c.GetOutliers()),
				Failing: c.GetFailing(), Full: c.GetFull(), Known: c.GetKnown(),
			}
		}),
	}
}
