package soak

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/ring"
	"endivespring/internal/standin"
	"endivespring/internal/verdict"
)

const (
	callerDuties = 128                    // requests under way at once
	callerSends  = 3                      // sends of one request
	callerPause  = 100 * time.Millisecond // time between sends of one request
	answerMargin = time.Second            // longest wait for an answer past the deadline
	noAnswer     = "no-answer"
)

// callerDuty sends one request at a time, and again to the next router while
// it has not run. Connections stay open until their router closes them.
type callerDuty struct {
	requests *ring.Ring[request]
	seen     *ring.Ring[*observation]
	client   *fasthttp.Client
	routers  []string
	// addresses are those of the routers.
	addresses map[string]string
	// pending counts requests that have no last answer yet.
	pending *atomic.Int64
}

func newCallerClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1, MaxConnsPerHost: callerDuties, MaxIdleConnDuration: time.Hour,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Run sends until the context ends.
func (d *callerDuty) Run(ctx context.Context) error {
	for {
		next, err := d.requests.Take(ctx)
		if err != nil {
			return nil
		}
		d.pending.Add(1)
		d.ask(ctx, &next)
		d.pending.Add(-1)
	}
}

func (d *callerDuty) ask(ctx context.Context, r *request) {
	attempt := 1
	for i := range callerSends {
		s := d.send(r, d.routers[(r.first+i)%len(d.routers)], attempt)
		s.Last = s.Verdict == verdict.Ran.String() || i == callerSends-1 || ctx.Err() != nil
		_ = d.seen.Put(context.Background(), &observation{send: s})
		if s.Last {
			return
		}
		if s.Verdict != verdict.NotRun.String() {
			attempt++
		}
		clock.Pause(ctx, callerPause)
	}
}

func (d *callerDuty) send(r *request, router string, attempt int) *Send {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.Header.SetMethod(fasthttp.MethodPost)
	out.SetRequestURI("http://" + d.addresses[router] + "/v1/" + r.service + "/" + r.operation)
	out.Header.Set(caller.HeaderRequestID, r.id)
	out.Header.Set(caller.HeaderAttempt, strconv.Itoa(attempt))
	out.Header.Set(caller.HeaderTimeout, strconv.FormatInt(operationDeadline.Milliseconds(), 10))
	if r.key != "" {
		out.Header.Set(caller.HeaderKey, r.key)
	}
	out.SetBodyString(r.id)
	s := &Send{ID: r.id, Router: router, Operation: r.operation, Key: r.key, Attempt: attempt, At: time.Now()}
	err := d.client.DoTimeout(out, in, operationDeadline+answerMargin)
	s.Ended = time.Now()
	s.read(r, in, err)
	return s
}

// read takes what came back. A connection that could not be opened carried
// nothing.
func (s *Send) read(r *request, in *fasthttp.Response, err error) {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial", errors.Is(err, fasthttp.ErrDialTimeout):
		s.Verdict, s.Reason = verdict.NotRun.String(), err.Error()
		return
	case err != nil:
		s.Verdict, s.Reason = verdict.MayHaveRun.String(), noAnswer+": "+err.Error()
		s.Broken = !errors.Is(err, fasthttp.ErrTimeout)
		return
	}
	s.Verdict, s.Reason = string(in.Header.Peek(caller.HeaderVerdict)), string(in.Header.Peek(caller.HeaderReason))
	if s.Verdict != verdict.Ran.String() {
		return
	}
	var answer standin.Answer
	s.Foreign = json.Unmarshal(in.Body(), &answer) != nil || answer.RequestID != r.id || answer.Key != r.key || answer.Echo != r.id
}
