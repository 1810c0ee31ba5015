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

const probeInterval = 50 * time.Millisecond // time between two probes of a router

// awaitReady puts the first preset in force and waits until every router serves both
// services, at most readyTimeout. If the parent context ends first, it returns that
// context's error.
func (f *testFleet) awaitReady(parent context.Context, commands *ring.Ring[Command]) error {
	ctx, cancel := context.WithTimeout(parent, readyTimeout)
	defer cancel()
	if err := commands.Put(ctx, Command{Kind: ChangePreset, Target: f.topology.presets[0]}); err != nil {
		return err
	}
	client := newCallerClient()
	for _, router := range f.topology.routers {
		for i := range serviceCount {
			for !f.serves(client, router, serviceOf(i)) {
				if parent.Err() != nil {
					return eris.Wrap(parent.Err(), "wait until the fleet serves")
				}
				if ctx.Err() != nil {
					return eris.Errorf("%s did not serve %s within %s of the start; see the logs in %s", router, serviceOf(i), readyTimeout, f.folder)
				}
				clock.Pause(ctx, probeInterval)
			}
		}
	}
	return nil
}

func (f *testFleet) serves(client *fasthttp.Client, router, service string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + f.callerAddresses[router] + "/v1/" + service + "/" + lookup)
	req.Header.Set(caller.HeaderKey, "ready")
	return client.DoTimeout(req, resp, operationDeadline) == nil && resp.StatusCode() == http.StatusOK
}
