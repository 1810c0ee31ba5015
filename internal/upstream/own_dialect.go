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

// OwnDialect is the project's own interface to upstreams.
type OwnDialect struct{}

// Encode writes a run as a request for an operation by its name.
func (OwnDialect) Encode(request *fasthttp.Request, run *executor.Run, left time.Duration, grantEnd time.Time) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + run.Upstream.Address + "/run/" + url.PathEscape(run.Call.Operation))
	request.Header.Set(HeaderRequestID, run.Call.RequestID)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if run.Call.Key != "" {
		request.Header.Set(HeaderKey, run.Call.Key)
	}
	if run.Epoch > 0 {
		request.Header.Set(HeaderShard, strconv.FormatUint(uint64(run.Call.Shard), 10))
		request.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(run.Epoch), 10))
		request.Header.Set(HeaderGrantEnd, strconv.FormatInt(grantEnd.UnixNano(), 10))
	}
	request.SetBody(run.Call.Body)
}

// Answers takes every response as that of the run: Decode tells a crossed one.
func (OwnDialect) Answers(*executor.Run, *fasthttp.Response) bool { return true }

// Decode checks that the answer is whole and belongs to the request.
func (OwnDialect) Decode(run *executor.Run, response *fasthttp.Response) executor.Outcome {
	return answered(run, response)
}

// Cancels reports that an upstream has an address for cancellations.
func (OwnDialect) Cancels() bool { return true }

// answered checks that the answer is whole and belongs to the request.
func answered(run *executor.Run, response *fasthttp.Response) executor.Outcome {
	body := response.Body()
	empty := response.StatusCode() == fasthttp.StatusNoContent || response.StatusCode() == fasthttp.StatusNotModified
	if response.Header.ContentLength() == unboundedly && !empty {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, admission.Good)
	}
	if string(response.Header.Peek(HeaderRequestID)) != run.Call.RequestID || !whole(response, body) {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, admission.Failed)
	}
	switch string(response.Header.Peek(HeaderRan)) {
	case "":
	case RanNo:
		return refused(run, response)
	default: // the upstream gave up at the deadline, or was told to
		return outcome(run, verdict.MayHaveRun, verdict.ReasonDeadline, admission.TimedOut)
	}
	out := outcome(run, verdict.Ran, verdict.ReasonNone, admission.Good)
	out.Answer.Status = response.StatusCode()
	out.Answer.Body = bytes.Clone(body)
	out.Answer.ContentType = string(response.Header.ContentType())
	return out
}

func refused(run *executor.Run, response *fasthttp.Response) executor.Outcome {
	if response.StatusCode() == fasthttp.StatusPreconditionFailed {
		return outcome(run, verdict.NotRun, verdict.ReasonFenced, admission.Neutral)
	}
	return outcome(run, verdict.NotRun, verdict.ReasonShed, admission.Shed)
}

// whole checks the body against the checksum, if the upstream sent one.
func whole(response *fasthttp.Response, body []byte) bool {
	checksum := string(response.Header.Peek(HeaderChecksum))
	return checksum == "" || checksum == strconv.FormatUint(xxhash.Sum64(body), 16)
}
