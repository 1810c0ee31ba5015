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

const announceTimeout = 500 * time.Millisecond // timeout of one request to the router

// announceDuty announces the stand-in to its router at regular intervals.
type announceDuty struct {
	address      string
	announcement upstream.Announcement
	every        time.Duration
}

// Run announces until the context ends. Announcements that fail are not retried
// before the next one is due.
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

// leave tells the router that the stand-in is stopping.
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
