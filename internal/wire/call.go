package wire

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// FromCall converts a call. Its deadline becomes the time left from now.
func FromCall(c *call.Call, now clock.Instant) *wirepb.Call {
	return &wirepb.Call{
		Number: c.Number, RequestId: c.RequestID, Service: c.Service, Operation: c.Operation, Key: c.Key,
		Idempotent: c.Idempotent, Sharded: c.Sharded, Shard: c.Shard, Resend: c.Resend, Hedge: c.Hedge, Recorded: c.Recorded,
		Body: c.Body, TimeoutNs: int64(c.Deadline.Sub(now)),
	}
}

// ToCall converts a call that arrived now.
func ToCall(c *wirepb.Call, now clock.Instant) call.Call {
	return call.Call{
		Number: c.GetNumber(), RequestID: c.GetRequestId(), Service: c.GetService(), Operation: c.GetOperation(), Key: c.GetKey(),
		Idempotent: c.GetIdempotent(), Sharded: c.GetSharded(), Shard: c.GetShard(), Resend: c.GetResend(), Hedge: c.GetHedge(),
		Recorded: c.GetRecorded(), Body: c.GetBody(), Deadline: now.Add(time.Duration(c.GetTimeoutNs())),
	}
}

// FromAnswer converts an answer and adds a checksum of its body.
func FromAnswer(a *call.Answer) *wirepb.Answer {
	return &wirepb.Answer{
		Number: a.Number, RequestId: a.RequestID, Verdict: uint32(a.Verdict), Reason: string(a.Reason), Status: int32(a.Status),
		Body: a.Body, Checksum: xxhash.Sum64(a.Body), ContentType: strings.ToValidUTF8(a.ContentType, "?"), Upstream: a.Upstream, Epoch: uint64(a.Epoch),
		Load: &wirepb.Load{
			InFlight: int32(a.Load.InFlight), Queued: int32(a.Load.Queued), Limit: int32(a.Load.Limit), LatencyNs: int64(a.Load.Latency),
		},
	}
}

// ToAnswer converts an answer. It returns false if the body does not match its
// checksum.
func ToAnswer(a *wirepb.Answer) (call.Answer, bool) {
	load := a.GetLoad()
	return call.Answer{
		Number: a.GetNumber(), RequestID: a.GetRequestId(), Verdict: verdict.Verdict(a.GetVerdict()), Reason: verdict.Reason(a.GetReason()),
		Status: int(a.GetStatus()), Body: a.GetBody(), ContentType: a.GetContentType(), Upstream: a.GetUpstream(), Epoch: fleet.Epoch(a.GetEpoch()),
		Load: call.Load{
			InFlight: int(load.GetInFlight()), Queued: int(load.GetQueued()), Limit: int(load.GetLimit()), Latency: time.Duration(load.GetLatencyNs()),
		},
	}, xxhash.Sum64(a.GetBody()) == a.GetChecksum()
}
