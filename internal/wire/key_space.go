package wire

import (
	"github.com/samber/lo"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/session"
	"endivespring/internal/wire/wirepb"
)

func fromKeySpace(s fleet.KeySpace) *wirepb.KeySpace {
	return &wirepb.KeySpace{
		Service: s.Service, Revision: s.Revision, LastEpoch: uint64(s.LastEpoch),
		Ranges: lo.Map(s.Ranges, func(r fleet.KeyRange, _ int) *wirepb.KeyRange {
			return &wirepb.KeyRange{
				First: r.First, Last: r.Last, Phase: uint32(r.Phase), Owner: string(r.Owner), Boot: r.Boot,
				Epoch: uint64(r.Epoch), Handover: r.Handover,
			}
		}),
	}
}

func toKeySpace(s *wirepb.KeySpace) fleet.KeySpace {
	return fleet.KeySpace{
		Service: s.GetService(), Revision: s.GetRevision(), LastEpoch: fleet.Epoch(s.GetLastEpoch()),
		Ranges: lo.Map(s.GetRanges(), func(r *wirepb.KeyRange, _ int) fleet.KeyRange {
			return fleet.KeyRange{
				First: r.GetFirst(), Last: r.GetLast(), Phase: fleet.ShardPhase(r.GetPhase()), Owner: fleet.RouterID(r.GetOwner()),
				Boot: r.GetBoot(), Epoch: fleet.Epoch(r.GetEpoch()), Handover: r.GetHandover(),
			}
		}),
	}
}

func fromRangeReleases(releases []fsm.RangeRelease) []*wirepb.RangeRelease {
	return lo.Map(releases, func(r fsm.RangeRelease, _ int) *wirepb.RangeRelease {
		return &wirepb.RangeRelease{First: r.First, Last: r.Last, Epoch: uint64(r.Epoch), Handover: r.Handover}
	})
}

func toRangeReleases(releases []*wirepb.RangeRelease) []fsm.RangeRelease {
	return lo.Map(releases, func(r *wirepb.RangeRelease, _ int) fsm.RangeRelease {
		return fsm.RangeRelease{First: r.GetFirst(), Last: r.GetLast(), Epoch: fleet.Epoch(r.GetEpoch()), Handover: r.GetHandover()}
	})
}

func fromRangeReports(reports []session.RangeReport) []*wirepb.RangeReport {
	return lo.Map(reports, func(r session.RangeReport, _ int) *wirepb.RangeReport {
		return &wirepb.RangeReport{Service: r.Service, Boot: r.Boot, Releases: fromRangeReleases(r.Releases)}
	})
}

func toRangeReports(reports []*wirepb.RangeReport) []session.RangeReport {
	return lo.Map(reports, func(r *wirepb.RangeReport, _ int) session.RangeReport {
		return session.RangeReport{Service: r.GetService(), Boot: r.GetBoot(), Releases: toRangeReleases(r.GetReleases())}
	})
}

func fromKeyLoads(loads []session.KeyLoad) []*wirepb.KeyLoad {
	return lo.Map(loads, func(l session.KeyLoad, _ int) *wirepb.KeyLoad {
		return &wirepb.KeyLoad{First: l.First, Last: l.Last, Rate: l.Rate}
	})
}

func toKeyLoads(loads []*wirepb.KeyLoad) []session.KeyLoad {
	return lo.Map(loads, func(l *wirepb.KeyLoad, _ int) session.KeyLoad {
		return session.KeyLoad{First: l.GetFirst(), Last: l.GetLast(), Rate: l.GetRate()}
	})
}
