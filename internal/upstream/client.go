package upstream

import (
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/door"
	"endivespring/internal/verdict"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnection  = 5 * time.Second        // unused time after which a connection is closed
	cancelTimeout   = 500 * time.Millisecond // longest time for a cancellation
	deadlineGrace   = 20 * time.Millisecond  // time an answer may take beyond the run's deadline
	maxConnsPerHost = 2048
)

var errDial = eris.New("dial failed")

// Client carries requests to an upstream. It sends each run once.
type Client struct {
	clock clock.Clock
	http  *fasthttp.Client
}

// NewClient returns a client that accepts answers of up to maxBody bytes.
func NewClient(c clock.Clock, maxBody int) *Client {
	return &Client{clock: c, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxConnsPerHost:           maxConnsPerHost, MaxIdleConnDuration: idleConnection, MaxResponseBodySize: maxBody,
		NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
		Dial: func(address string) (net.Conn, error) {
			connection, err := fasthttp.DialTimeout(address, dialTimeout)
			if err != nil {
				return nil, eris.Wrapf(errDial, "%s: %v", address, err)
			}
			return connection, nil
		},
	}}
}

// Run hands one run to the upstream and returns how it ended.
func (c *Client) Run(run *door.Run) door.Outcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	now := c.clock.Now()
	left := run.Deadline.Sub(now)
	fill(request, run, left)
	if now = c.clock.Now(); now >= run.Fence || left <= 0 {
		return outcome(run, verdict.NotRun, verdict.ReasonLeaseExpired, admission.Good)
	}
	if err := c.http.DoTimeout(request, response, left+deadlineGrace); err != nil {
		return failed(run, err)
	}
	return answered(run, response)
}

// Cancel asks the upstream to stop working on a request.
func (c *Client) Cancel(address, requestID string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/cancel")
	request.Header.Set(HeaderRequestID, requestID)
	_ = c.http.DoTimeout(request, response, cancelTimeout)
}

func fill(request *fasthttp.Request, run *door.Run, left time.Duration) {
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
	}
	request.SetBody(run.Call.Body)
}

// failed classifies an error: only a request that was never written is proved
// not to have run.
func failed(run *door.Run, err error) door.Outcome {
	switch {
	case eris.Is(err, errDial), eris.Is(err, fasthttp.ErrNoFreeConns):
		return outcome(run, verdict.NotRun, verdict.ReasonConnection, admission.Failed)
	case eris.Is(err, fasthttp.ErrTimeout):
		return outcome(run, verdict.MayHaveRun, verdict.ReasonDeadline, admission.Failed)
	case eris.Is(err, fasthttp.ErrBodyTooLarge):
		return outcome(run, verdict.MayHaveRun, verdict.ReasonBodyTooLarge, admission.Good)
	default:
		return outcome(run, verdict.MayHaveRun, verdict.ReasonConnection, admission.Failed)
	}
}

// answered checks that the answer is whole and belongs to the request.
func answered(run *door.Run, response *fasthttp.Response) door.Outcome {
	if string(response.Header.Peek(HeaderRequestID)) != run.Call.RequestID {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, admission.Failed)
	}
	switch string(response.Header.Peek(HeaderRan)) {
	case "":
	case RanNo:
		return refused(run, response)
	default:
		return outcome(run, verdict.MayHaveRun, verdict.ReasonCancelled, admission.Good)
	}
	body := response.Body()
	if !whole(response, body) {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, admission.Failed)
	}
	out := outcome(run, verdict.Ran, verdict.ReasonNone, admission.Good)
	out.Answer.Status = response.StatusCode()
	out.Answer.Body = append([]byte(nil), body...)
	out.Answer.ContentType = string(response.Header.ContentType())
	return out
}

func refused(run *door.Run, response *fasthttp.Response) door.Outcome {
	if response.StatusCode() == fasthttp.StatusPreconditionFailed {
		return outcome(run, verdict.NotRun, verdict.ReasonFenced, admission.Good)
	}
	return outcome(run, verdict.NotRun, verdict.ReasonShed, admission.Shed)
}

func whole(response *fasthttp.Response, body []byte) bool {
	if length := response.Header.ContentLength(); length >= 0 && length != len(body) {
		return false
	}
	checksum := string(response.Header.Peek(HeaderChecksum))
	return checksum == "" || checksum == strconv.FormatUint(xxhash.Sum64(body), 16)
}

func outcome(run *door.Run, v verdict.Verdict, reason verdict.Reason, health admission.Outcome) door.Outcome {
	return door.Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, v, reason), Health: health}
}
