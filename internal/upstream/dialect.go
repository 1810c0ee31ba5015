package upstream

import (
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/executor"
)

// Dialect maps runs to HTTP requests and responses to outcomes. Senders call it
// concurrently.
type Dialect interface {
	// Encode writes a run into request. left is the time the upstream has to
	// process it, and grantEnd the expiry of its grant by the wall clock.
	Encode(request *fasthttp.Request, run *executor.Run, left time.Duration, grantEnd time.Time)
	// Names reports whether the header of a response names the request of a run.
	Names(run *executor.Run, response *fasthttp.Response) bool
	// NamesRun reports whether the header of a response names this very run, so that it
	// is no response to an earlier run of the same request.
	NamesRun(run *executor.Run, response *fasthttp.Response) bool
	// Answers reports whether a response may belong to a run. The sender skips those
	// that do not.
	Answers(run *executor.Run, response *fasthttp.Response) bool
	// Decode returns the outcome of a run from a completely read response. The sender
	// decides whether a refusal proves that this run did not begin.
	Decode(run *executor.Run, response *fasthttp.Response) executor.Outcome
	// EncodeRange writes a range request into request. hold is the lease of a grant.
	EncodeRange(request *fasthttp.Request, r *executor.RangeRequest, hold time.Duration) error
	// DecodeRange returns the outcome of a range request from a completely read response.
	DecodeRange(r *executor.RangeRequest, response *fasthttp.Response) executor.RangeResponse
	// Cancels reports whether the upstream has a cancellation endpoint. Without
	// one, closing the connection of a run is its cancellation.
	Cancels() bool
}
