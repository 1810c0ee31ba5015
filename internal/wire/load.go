package wire

import (
	"time"

	"endivespring/internal/call"
	"endivespring/internal/wire/wirepb"
)

// FromLoad converts a load report to its message.
func FromLoad(l *call.Load) *wirepb.Load {
	return &wirepb.Load{
		InFlight: int32(l.InFlight), Queued: int32(l.Queued), Limit: int32(l.Limit), LatencyNs: int64(l.Latency),
		WaitNs: int64(l.Wait), NestedWaitNs: int64(l.NestedWait), Slowdown: l.Slowdown,
	}
}

// ToLoad converts a message; a missing one is an empty report.
func ToLoad(l *wirepb.Load) call.Load {
	return call.Load{
		InFlight: int(l.GetInFlight()), Queued: int(l.GetQueued()), Limit: int(l.GetLimit()), Latency: time.Duration(l.GetLatencyNs()),
		Wait: time.Duration(l.GetWaitNs()), NestedWait: time.Duration(l.GetNestedWaitNs()), Slowdown: l.GetSlowdown(),
	}
}
