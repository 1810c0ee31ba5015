package wire

import (
	"time"

	"github.com/samber/lo"

	"endivespring/internal/fsm"
	"endivespring/internal/wire/wirepb"
)

func fromKeptLoads(k *fsm.KeptLoads) *wirepb.KeptLoads {
	return &wirepb.KeptLoads{
		Service: k.Service, LastKeys: k.LastKeys, MilliRates: k.MilliRates,
		Upstreams: lo.Map(k.Upstreams, func(u fsm.UpstreamSpeed, _ int) *wirepb.UpstreamSpeed {
			return &wirepb.UpstreamSpeed{Boot: u.Boot, RunTimeNs: int64(u.RunTime), MilliLimit: u.MilliLimit}
		}),
	}
}

func toKeptLoads(k *wirepb.KeptLoads) *fsm.KeptLoads {
	return &fsm.KeptLoads{
		Service: k.GetService(), LastKeys: k.GetLastKeys(), MilliRates: k.GetMilliRates(),
		Upstreams: lo.Map(k.GetUpstreams(), func(u *wirepb.UpstreamSpeed, _ int) fsm.UpstreamSpeed {
			return fsm.UpstreamSpeed{Boot: u.GetBoot(), RunTime: time.Duration(u.GetRunTimeNs()), MilliLimit: u.GetMilliLimit()}
		}),
	}
}
