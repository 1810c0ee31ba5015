package load

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"endivespring/internal/caller"
	"endivespring/internal/ring"
	"endivespring/internal/standin"
	"endivespring/internal/verdict"
)

// workerDuty sends one request at a time.
type workerDuty struct {
	settings *Settings
	client   *fasthttp.Client
	shots    *ring.Ring[shot]
	hits     *ring.Ring[hit]
}

// Run sends until the context ends.
func (d *workerDuty) Run(ctx context.Context) error {
	for {
		s, err := d.shots.Take(ctx)
		if err != nil {
			return nil
		}
		if err := d.hits.Put(ctx, d.send(&s)); err != nil {
			return nil
		}
	}
}

func (d *workerDuty) send(s *shot) hit {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + s.address + "/v1/" + d.settings.Service + "/" + d.settings.Operation)
	request.Header.Set(caller.HeaderRequestID, s.id)
	request.Header.Set(caller.HeaderTimeout, strconv.FormatInt(d.settings.Timeout.Milliseconds(), 10))
	if s.key != "" {
		request.Header.Set(caller.HeaderKey, s.key)
	}
	request.SetBody(d.settings.Body)
	err := d.client.DoTimeout(request, response, d.settings.Timeout+time.Second)
	out := hit{latency: time.Since(s.due), verdict: verdict.MayHaveRun.String(), reason: "no-answer"}
	if err != nil {
		return out
	}
	out.verdict = string(response.Header.Peek(caller.HeaderVerdict))
	out.reason = string(response.Header.Peek(caller.HeaderReason))
	if out.verdict == verdict.Ran.String() {
		out.mismatched = mismatched(s, response.Body())
	}
	return out
}

// mismatched reports whether a good answer belongs to another request.
func mismatched(s *shot, body []byte) bool {
	var answer standin.Answer
	err := json.Unmarshal(body, &answer)
	return err != nil || answer.RequestID != s.id || answer.Key != s.key
}
