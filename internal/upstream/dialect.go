package upstream

import (
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/executor"
)

// Dialect is how upstreams of a fleet are spoken to. Many senders use it at once.
type Dialect interface {
	// Encode writes a run as a request. The upstream may work on it for the time
	// left; grantEnd is when its grant ends by the wall clock.
	Encode(request *fasthttp.Request, run *executor.Run, left time.Duration, grantEnd time.Time)
	// Answers reports whether a response belongs to a run. Another one is passed
	// over.
	Answers(run *executor.Run, response *fasthttp.Response) bool
	// Decode returns the outcome of a run that got a whole response.
	Decode(run *executor.Run, response *fasthttp.Response) executor.Outcome
	// Cancels reports whether an upstream is told on a connection of its own that
	// a run is no longer wanted. Otherwise the end of the run's connection says so.
	Cancels() bool
}
