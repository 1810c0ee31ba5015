package standin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/clock"
	"endivespring/internal/upstream"
)

const announceTimeout = 500 * time.Millisecond // longest time for one announcement

// announceDuty tells the router beside the stand-in that it is there.
type announceDuty struct {
	address      string
	announcement upstream.Announcement
	every        time.Duration
}

// Run announces until the context ends.
func (d *announceDuty) Run(ctx context.Context) error {
	body, err := json.Marshal(d.announcement)
	if err != nil {
		return eris.Wrap(err, "encode announcement")
	}
	for ctx.Err() == nil {
		_ = d.post("/v1/announce", body)
		clock.Pause(ctx, d.every)
	}
	return nil
}

// leave tells the router that the stand-in stops.
func (d *announceDuty) leave() error { return d.post("/v1/leave", nil) }

func (d *announceDuty) post(path string, body []byte) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + d.address + path)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, announceTimeout); err != nil {
		return eris.Wrap(err, "announce")
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return eris.Errorf("announce: HTTP %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}
