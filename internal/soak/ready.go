package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/caller"
	"endivespring/internal/clock"
	"endivespring/internal/ring"
)

const probeEvery = 50 * time.Millisecond // time between looks at whether the fleet serves

// ready puts the first preset in force and waits until each router serves both
// services.
func (w *world) ready(ctx context.Context, orders *ring.Ring[Order]) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := orders.Put(ctx, Order{Kind: Change, Target: w.roster.presets[0]}); err != nil {
		return err
	}
	client := newCallerClient()
	for _, router := range w.roster.routers {
		for i := range services {
			for !w.serves(client, router, serviceOf(i)) {
				if ctx.Err() != nil {
					return eris.Errorf("%s does not serve %s within %s of the start; see the logs in %s", router, serviceOf(i), readyLimit, w.folder)
				}
				clock.Pause(ctx, probeEvery)
			}
		}
	}
	return nil
}

func (w *world) serves(client *fasthttp.Client, router, service string) bool {
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.Header.SetMethod(fasthttp.MethodPost)
	out.SetRequestURI("http://" + w.callers[router] + "/v1/" + service + "/" + lookup)
	out.Header.Set(caller.HeaderKey, "ready")
	return client.DoTimeout(out, in, operationDeadline) == nil && in.StatusCode() == http.StatusOK
}
