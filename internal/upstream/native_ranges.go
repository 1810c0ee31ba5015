package upstream

import (
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/executor"
)

// maxHandover is the length in bytes of the longest handover that is passed on.
const maxHandover = 256

// EncodeRange writes a range request as POST /grant or POST /release with a RangeBody.
func (NativeDialect) EncodeRange(request *fasthttp.Request, r *executor.RangeRequest, hold time.Duration) error {
	body := RangeBody{First: r.First, Last: r.Last, Epoch: uint64(r.Epoch)}
	if r.Kind == executor.GrantRange {
		body.HoldMs, body.Handover = hold.Milliseconds(), r.Handover
	}
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode range request")
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + r.Upstream.Address + "/" + r.Kind.String())
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(data)
	return nil
}

// DecodeRange maps the status of the answer to a range request.
func (NativeDialect) DecodeRange(r *executor.RangeRequest, response *fasthttp.Response) executor.RangeResponse {
	return NewRangeResponse(r, response.StatusCode(), string(response.Header.Peek(HeaderHandover)))
}

// NewRangeResponse returns the outcome of a range request that was answered with a
// status: 2xx applied it, 409 refused it for a higher epoch, and any other 4xx refused
// it. After other answers it may have been applied.
func NewRangeResponse(r *executor.RangeRequest, status int, handover string) executor.RangeResponse {
	out := executor.RangeResponse{Number: r.Number, Status: status, Result: executor.RangeUnanswered}
	switch {
	case status >= 200 && status < 300:
		out.Result = executor.RangeApplied
		if r.Kind == executor.ReleaseRange && validHandover(handover) {
			out.Handover = handover
		}
	case status == fasthttp.StatusConflict && r.Kind == executor.GrantRange:
		out.Result = executor.RangeFenced
	case status >= 400 && status < 500:
		out.Result = executor.RangeRefused
	}
	return out
}

// validHandover reports whether a handover can be passed on to control. The keys of one
// that cannot are only slower at first.
func validHandover(handover string) bool {
	return len(handover) <= maxHandover && utf8.ValidString(handover)
}
