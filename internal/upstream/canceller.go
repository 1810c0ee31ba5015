package upstream

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	cancelTimeout = 500 * time.Millisecond // limit on one cancellation request
	maxCancelBody = 4 << 10                // body size in bytes of its response, which is ignored
)

// Canceller sends cancellations to an upstream. It has its own connection pool,
// since the connections that carry the cancelled requests may be unresponsive.
type Canceller struct{ http *fasthttp.Client }

// NewCanceller returns a canceller with an empty connection pool that never
// retries a cancellation.
func NewCanceller() *Canceller {
	return &Canceller{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: idleTimeout, MaxResponseBodySize: maxCancelBody,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}}
}

// Cancel asks the upstream at an address to abandon a request. It is best
// effort: errors are ignored, and it blocks for cancelTimeout at most.
func (c *Canceller) Cancel(address, requestID string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/cancel")
	request.Header.Set(HeaderRequestID, requestID)
	_ = c.http.DoTimeout(request, response, cancelTimeout)
}
