package upstream

import (
	"time"

	"github.com/valyala/fasthttp"
)

const cancelTimeout = 500 * time.Millisecond // longest time for a cancellation

// Canceller asks an upstream to stop working on requests. It uses connections
// of its own, since those of the requests may be silent.
type Canceller struct{ http *fasthttp.Client }

// NewCanceller returns a canceller without connections.
func NewCanceller() *Canceller {
	return &Canceller{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxIdleConnDuration: idleLimit,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}}
}

// Cancel asks the upstream at an address to stop working on a request.
func (c *Canceller) Cancel(address, requestID string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/cancel")
	request.Header.Set(HeaderRequestID, requestID)
	_ = c.http.DoTimeout(request, response, cancelTimeout)
}
