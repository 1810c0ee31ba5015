package upstream

import (
	"bytes"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"endivespring/internal/admission"
	"endivespring/internal/executor"
	"endivespring/internal/verdict"
)

// NativeDialect is the native HTTP interface to upstreams.
type NativeDialect struct{}

// Encode writes a run as POST /run/OPERATION. Shard, epoch and grant expiry are
// sent only for runs that have an epoch.
func (NativeDialect) Encode(request *fasthttp.Request, run *executor.Run, left time.Duration, grantEnd time.Time) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + run.Upstream.Address + "/run/" + url.PathEscape(run.Call.Operation))
	request.Header.Set(HeaderRequestID, run.Call.RequestID)
	request.Header.Set(HeaderRun, strconv.FormatUint(run.ID, 10))
	request.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if run.Call.Key != "" {
		request.Header.Set(HeaderKey, run.Call.Key)
	}
	if run.Epoch > 0 {
		request.Header.Set(HeaderShard, strconv.FormatUint(uint64(run.Call.Shard), 10))
		request.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(run.Epoch), 10))
		request.Header.Set(HeaderGrantEnd, strconv.FormatInt(grantEnd.UnixNano(), 10))
	}
	request.SetBodyRaw(run.Call.Body)
}

// Names reports whether the response has the run's request ID.
func (NativeDialect) Names(run *executor.Run, response *fasthttp.Response) bool {
	return string(response.Header.Peek(HeaderRequestID)) == run.Call.RequestID
}

// NamesRun reports whether the response has the run's number.
func (d NativeDialect) NamesRun(run *executor.Run, response *fasthttp.Response) bool {
	return d.Names(run, response) && string(response.Header.Peek(HeaderRun)) == strconv.FormatUint(run.ID, 10)
}

// Answers accepts every response: Decode rejects one with another request ID.
func (NativeDialect) Answers(*executor.Run, *fasthttp.Response) bool { return true }

// Decode returns the outcome that the response proves: may-have-run if it is
// truncated or belongs to another request.
func (NativeDialect) Decode(run *executor.Run, response *fasthttp.Response) executor.Outcome {
	return decode(run, response)
}

// Cancels returns true: upstreams serve POST /cancel.
func (NativeDialect) Cancels() bool { return true }

// decode checks that the response is complete and belongs to the request, and
// maps HeaderRan to a verdict.
func decode(run *executor.Run, response *fasthttp.Response) executor.Outcome {
	body := response.Body()
	empty := response.StatusCode() == fasthttp.StatusNoContent || response.StatusCode() == fasthttp.StatusNotModified
	if response.Header.ContentLength() == lengthUntilClose && !empty {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, admission.Good)
	}
	if !(NativeDialect{}).Names(run, response) || !checksumMatches(response, body) {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, admission.Failed)
	}
	switch string(response.Header.Peek(HeaderRan)) {
	case "":
	case RanNo:
		return refusalOutcome(run, response)
	default: // the upstream stopped at the deadline or on a cancellation
		return outcome(run, verdict.MayHaveRun, verdict.ReasonDeadline, admission.TimedOut)
	}
	out := outcome(run, verdict.Ran, verdict.ReasonNone, admission.Good)
	out.Answer.Status = response.StatusCode()
	out.Answer.Body = bytes.Clone(body)
	out.Answer.ContentType = string(response.Header.ContentType())
	return out
}

func refusalOutcome(run *executor.Run, response *fasthttp.Response) executor.Outcome {
	if response.StatusCode() == fasthttp.StatusPreconditionFailed {
		return outcome(run, verdict.NotRun, verdict.ReasonFenced, admission.Neutral)
	}
	return outcome(run, verdict.NotRun, verdict.ReasonShed, admission.Shed)
}

// checksumMatches checks the body against HeaderChecksum. A response without the header
// passes.
func checksumMatches(response *fasthttp.Response, body []byte) bool {
	checksum := string(response.Header.Peek(HeaderChecksum))
	return checksum == "" || checksum == strconv.FormatUint(xxhash.Sum64(body), 16)
}
