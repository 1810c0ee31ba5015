package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/clock"
	"endivespring/internal/executor"
	"endivespring/internal/memory"
)

const (
	// rangeAnswerMemory bounds the bytes of an answer to a range request, which has no
	// body that matters.
	rangeAnswerMemory = 64 << 10
	maxRangeBody      = 16 << 10
)

// RangeClient sends range requests to an upstream, one at a time. Grants share a
// connection. A release gets one of its own, so that its answer cannot be taken for
// that of another: a late copy of an earlier answer would end the protection of work
// that still runs. It is owned by one duty.
type RangeClient struct {
	clock      clock.Clock
	dialect    Dialect
	budget     *memory.Budget
	connection *connection
	// boot is the start of the upstream that the connection was opened for.
	boot string
}

// NewRangeClient returns a client that connects on the first request.
func NewRangeClient(c clock.Clock, dialect Dialect) *RangeClient {
	return &RangeClient{clock: c, dialect: dialect, budget: memory.NewBudget(rangeAnswerMemory)}
}

// Do sends a request and blocks until its outcome is known, at most until its timeout or
// the end of ctx.
func (c *RangeClient) Do(ctx context.Context, request *executor.RangeRequest) executor.RangeResponse {
	if err := c.connect(request); err != nil {
		return executor.RangeResponse{Number: request.Number, Result: executor.RangeNotSent, Gone: errors.Is(err, syscall.ECONNREFUSED)}
	}
	used := c.connection
	used.setDeadline(timeoutOf(request))
	stop := context.AfterFunc(ctx, func() { used.setDeadline(0) })
	defer stop()
	response := c.exchange(request)
	if request.Kind == executor.ReleaseRange || response.Result == executor.RangeUnanswered {
		c.reset()
	}
	return response
}

func timeoutOf(request *executor.RangeRequest) time.Duration {
	if request.Kind == executor.ReleaseRange {
		return executor.ReleaseTimeout
	}
	return executor.RangeRequestTimeout
}

// connect reuses the connection for a grant if it leads to the same start of the
// upstream.
func (c *RangeClient) connect(request *executor.RangeRequest) error {
	now, u := c.clock.Now(), &request.Upstream
	if c.connection != nil && c.boot == u.Boot && request.Kind == executor.GrantRange && c.connection.reusable(u.Address, "", now) {
		return nil
	}
	c.Close()
	opened, err := connect(u.Address, now, c.budget)
	if err != nil {
		return err
	}
	c.connection, c.boot = opened, u.Boot
	return nil
}

// exchange writes a request and reads its answer. The lease of a grant is computed right
// before the write.
func (c *RangeClient) exchange(request *executor.RangeRequest) executor.RangeResponse {
	out := executor.RangeResponse{Number: request.Number, Result: executor.RangeNotSent}
	hold, ok := request.Hold(c.clock.Now())
	if request.Kind == executor.GrantRange && !ok {
		return out
	}
	message, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(message)
	defer fasthttp.ReleaseResponse(response)
	if err := c.dialect.EncodeRange(message, request, hold); err != nil {
		return out
	}
	if _, err := message.WriteTo(c.connection.net); err != nil {
		out.Result = executor.RangeUnanswered
		return out
	}
	if err := c.connection.readAnswer(response, maxRangeBody); err != nil {
		out.Result = executor.RangeUnanswered
		return out
	}
	c.connection.markIdle(c.clock.Now())
	out = c.dialect.DecodeRange(request, response)
	if response.ConnectionClose() || c.connection.atEOF {
		c.Close()
	}
	return out
}

// reset closes the connection such that bytes that the upstream has not received yet are
// dropped.
func (c *RangeClient) reset() {
	if c.connection == nil {
		return
	}
	if tcp, ok := c.connection.net.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// Close closes the connection, if there is one.
func (c *RangeClient) Close() {
	if c.connection != nil {
		c.connection.close()
		c.connection = nil
	}
}
