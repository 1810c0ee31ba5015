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
	"endivespring/internal/httphead"
	"endivespring/internal/ring"
	"endivespring/internal/standin"
	"endivespring/internal/verdict"
)

const (
	callerCount    = 128                    // concurrent requests
	maxSends       = 3                      // times that one request is sent
	resendDelay    = 100 * time.Millisecond // time between two sends of one request
	answerMargin   = time.Second            // how long an answer is awaited past the deadline
	reasonNoAnswer = "no-answer"
)

// callerDuty sends one request at a time and resends it to the next router until
// it has run, at most maxSends times. Connections stay open until their router
// closes them.
type callerDuty struct {
	requests     *ring.Ring[request]
	observations *ring.Ring[*observation]
	client       *fasthttp.Client
	routers      []string
	// addresses holds the address of each router.
	addresses map[string]string
	// pending counts requests whose final answer is outstanding.
	pending *atomic.Int64
}

func newCallerClient() *fasthttp.Client {
	return &fasthttp.Client{
		Transport: httphead.Transport{}, MaxIdemponentCallAttempts: 1, MaxConnsPerHost: callerCount, MaxIdleConnDuration: time.Hour,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Run sends requests until the context ends.
func (d *callerDuty) Run(ctx context.Context) error {
	for {
		next, err := d.requests.Take(ctx)
		if err != nil {
			return nil
		}
		d.pending.Add(1)
		d.sendUntilRan(ctx, &next)
		d.pending.Add(-1)
	}
}

// sendUntilRan sends a request until it has run and records the outcome of each
// send. The attempt number rises only after a send that may have run.
func (d *callerDuty) sendUntilRan(ctx context.Context, r *request) {
	attempt := 1
	for i := range maxSends {
		s := d.send(r, d.routers[(r.firstRouter+i)%len(d.routers)], attempt)
		s.Final = s.Verdict == verdict.Ran.String() || i == maxSends-1 || ctx.Err() != nil
		_ = d.observations.Put(context.Background(), &observation{send: s})
		if s.Final {
			return
		}
		if s.Verdict != verdict.NotRun.String() {
			attempt++
		}
		clock.Pause(ctx, resendDelay)
	}
}

func (d *callerDuty) send(r *request, router string, attempt int) *Send {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + d.addresses[router] + "/v1/" + r.service + "/" + r.operation)
	req.Header.Set(caller.HeaderRequestID, r.id)
	req.Header.Set(caller.HeaderAttempt, strconv.Itoa(attempt))
	req.Header.Set(caller.HeaderTimeout, strconv.FormatInt(operationDeadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set(caller.HeaderKey, r.key)
	}
	req.SetBodyString(r.id)
	s := &Send{ID: r.id, Router: router, Operation: r.operation, Key: r.key, Attempt: attempt, At: time.Now()}
	err := d.client.DoTimeout(req, resp, operationDeadline+answerMargin)
	s.Ended = time.Now()
	s.setOutcome(r, resp, err)
	return s
}

// setOutcome sets the verdict and the reason from an answer or an error. A failed
// dial sent nothing, so the request has not run.
func (s *Send) setOutcome(r *request, resp *fasthttp.Response, err error) {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial", errors.Is(err, fasthttp.ErrDialTimeout):
		s.Verdict, s.Reason = verdict.NotRun.String(), err.Error()
		return
	case err != nil:
		s.Verdict, s.Reason = verdict.MayHaveRun.String(), reasonNoAnswer+": "+err.Error()
		s.ConnectionLost = !errors.Is(err, fasthttp.ErrTimeout)
		return
	}
	s.Verdict, s.Reason = string(resp.Header.Peek(caller.HeaderVerdict)), string(resp.Header.Peek(caller.HeaderReason))
	if s.Verdict != verdict.Ran.String() {
		return
	}
	var answer standin.Answer
	s.Mismatched = json.Unmarshal(resp.Body(), &answer) != nil || answer.RequestID != r.id || answer.Key != r.key || answer.Echo != r.id
}
