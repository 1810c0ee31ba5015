package wire

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"golang.org/x/net/http/httpguts"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/fleet"
	"endivespring/internal/verdict"
	"endivespring/internal/wire/wirepb"
)

// FromCall converts a call to its message. The deadline and the objective are
// sent as time left from now, since clocks of different machines are not
// compared.
func FromCall(c *call.Call, now clock.Instant) *wirepb.Call {
	out := &wirepb.Call{
		Number: c.Number, RequestId: []byte(c.RequestID), Service: c.Service, Operation: c.Operation, Key: []byte(c.Key),
		Idempotent: c.Idempotent, Sharded: c.Sharded, Shard: c.Shard, Resend: c.Resend, Hedge: c.Hedge, Recorded: c.Recorded,
		Body: c.Body, TimeoutNs: int64(c.Deadline.Sub(now)), Method: []byte(c.Method), Target: []byte(c.Target), Host: []byte(c.Host),
		Header: fromFields(c.Header), Priority: int32(c.Priority), Nested: c.Nested, Ranged: c.Ranged, KeyNumber: c.KeyNumber,
	}
	if c.Objective != 0 {
		out.ObjectiveNs = proto.Int64(int64(c.Objective.Sub(now)))
	}
	return out
}

// ToCall converts a message that arrived now.
func ToCall(c *wirepb.Call, now clock.Instant) call.Call {
	out := call.Call{
		Number: c.GetNumber(), RequestID: string(c.GetRequestId()), Service: c.GetService(), Operation: c.GetOperation(), Key: string(c.GetKey()),
		Idempotent: c.GetIdempotent(), Sharded: c.GetSharded(), Shard: c.GetShard(), Resend: c.GetResend(), Hedge: c.GetHedge(),
		Recorded: c.GetRecorded(), Body: c.GetBody(), Deadline: now.Add(time.Duration(c.GetTimeoutNs())),
		Method: string(c.GetMethod()), Target: string(c.GetTarget()), Host: string(c.GetHost()), Header: toFields(c.GetHeader()),
		Priority: int(c.GetPriority()), Nested: c.GetNested(), Ranged: c.GetRanged(), KeyNumber: c.GetKeyNumber(),
	}
	if c.ObjectiveNs != nil {
		out.Objective = now.Add(time.Duration(c.GetObjectiveNs()))
	}
	return out
}

// FromAnswer converts an answer to its message, with a checksum of the body.
// Invalid UTF-8 in the content type is replaced, since a message with it could
// not be encoded.
func FromAnswer(a *call.Answer) *wirepb.Answer {
	return &wirepb.Answer{
		Number: a.Number, RequestId: []byte(a.RequestID), Verdict: uint32(a.Verdict), Reason: string(a.Reason), Status: int32(a.Status),
		Body: a.Body, Checksum: xxhash.Sum64(a.Body), ContentType: strings.ToValidUTF8(a.ContentType, "?"), Upstream: a.Upstream, Epoch: uint64(a.Epoch),
		Header: fromFields(a.Header), RetryAfterNs: int64(a.RetryAfter),
		Load: FromLoad(&a.Load),
	}
}

// ToAnswer converts a message. It returns false if the body does not match the
// checksum, if the status is invalid (only an answer without content has none), or if the
// name of a header field is no token (RFC 9110, section 5.1).
func ToAnswer(a *wirepb.Answer) (call.Answer, bool) {
	return call.Answer{
		Number: a.GetNumber(), RequestID: string(a.GetRequestId()), Verdict: verdict.Verdict(a.GetVerdict()), Reason: verdict.Reason(a.GetReason()),
		Status: int(a.GetStatus()), Body: a.GetBody(), ContentType: a.GetContentType(), Upstream: a.GetUpstream(), Epoch: fleet.Epoch(a.GetEpoch()),
		Header: toFields(a.GetHeader()), RetryAfter: time.Duration(a.GetRetryAfterNs()),
		Load: ToLoad(a.GetLoad()),
	}, xxhash.Sum64(a.GetBody()) == a.GetChecksum() && validStatus(a) && validFields(a.GetHeader())
}

func validStatus(a *wirepb.Answer) bool {
	return call.ValidStatus(int(a.GetStatus())) || a.GetStatus() == 0 && verdict.Verdict(a.GetVerdict()) != verdict.Ran
}

func validFields(fields []*wirepb.Field) bool {
	return lo.EveryBy(fields, func(f *wirepb.Field) bool { return httpguts.ValidHeaderFieldName(string(f.GetName())) })
}

func fromFields(fields []call.HeaderField) []*wirepb.Field {
	return lo.Map(fields, func(f call.HeaderField, _ int) *wirepb.Field {
		return &wirepb.Field{Name: []byte(f.Name), Value: []byte(f.Value)}
	})
}

func toFields(fields []*wirepb.Field) []call.HeaderField {
	return lo.Map(fields, func(f *wirepb.Field, _ int) call.HeaderField {
		return call.HeaderField{Name: string(f.GetName()), Value: string(f.GetValue())}
	})
}
