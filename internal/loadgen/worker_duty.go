package loadgen

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/caller"
	"endivespring/internal/ring"
	"endivespring/internal/standin"
	"endivespring/internal/upstream"
	"endivespring/internal/verdict"
)

// workerDuty takes scheduled requests, sends one at a time and reports results.
type workerDuty struct {
	settings  *Settings
	client    *fasthttp.Client
	scheduled *ring.Ring[scheduledRequest]
	results   *ring.Ring[result]
}

// Run sends requests until the context ends.
func (d *workerDuty) Run(ctx context.Context) error {
	for {
		s, err := d.scheduled.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.results.Put(ctx, d.send(&s)); err != nil {
			return nil
		}
	}
}

func (d *workerDuty) send(s *scheduledRequest) result {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	d.fill(request, s)
	out := result{operation: s.operation, due: s.due, sendDelay: time.Since(s.due), resend: s.resend}
	// The extra second lets a router answer at the deadline before the client gives up.
	err := d.client.DoTimeout(request, response, d.settings.Timeout+time.Second)
	out.latency, out.verdict, out.reason = time.Since(s.due), verdict.MayHaveRun.String(), "no-answer"
	if err != nil {
		return out
	}
	d.read(response, &out)
	if out.verdict == verdict.Ran.String() {
		out.mismatched = mismatched(s, response.Body())
	}
	return out
}

func (d *workerDuty) fill(request *fasthttp.Request, s *scheduledRequest) {
	o := &d.settings.Mix[s.operation]
	timeout := strconv.FormatInt(d.settings.Timeout.Milliseconds(), 10)
	request.Header.SetMethod(fasthttp.MethodPost)
	if d.settings.Direct {
		request.SetRequestURI("http://" + s.address + "/run/" + o.Name)
		request.Header.Set(upstream.HeaderDeadline, timeout)
	} else {
		request.SetRequestURI("http://" + s.address + "/v1/" + o.Service + "/" + o.Name)
		request.Header.Set(caller.HeaderTimeout, timeout)
	}
	request.Header.Set(caller.HeaderRequestID, s.id)
	if s.key != "" {
		request.Header.Set(caller.HeaderKey, s.key)
	}
	if s.resend {
		request.Header.Set(caller.HeaderAttempt, "2")
	}
	request.SetBody(d.settings.Body)
}

// read takes the verdict, reason and upstream from a router's answer, or derives
// the verdict from a stand-in's answer.
func (d *workerDuty) read(response *fasthttp.Response, out *result) {
	out.verdict = string(response.Header.Peek(caller.HeaderVerdict))
	out.reason = string(response.Header.Peek(caller.HeaderReason))
	out.upstream = string(response.Header.Peek(caller.HeaderUpstream))
	if !d.settings.Direct {
		return
	}
	out.verdict = verdict.Ran.String()
	if string(response.Header.Peek(upstream.HeaderRan)) == upstream.RanNo {
		out.verdict, out.reason = verdict.NotRun.String(), string(verdict.ReasonShed)
	}
}

// mismatched reports whether the body of an answer belongs to another request or
// cannot be decoded.
func mismatched(s *scheduledRequest, body []byte) bool {
	var answer standin.Answer
	err := json.Unmarshal(body, &answer)
	return err != nil || answer.RequestID != s.id || answer.Key != s.key
}
