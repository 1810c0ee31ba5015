package caller

import (
	"errors"
	"net"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"endivespring/internal/event"
)

// ServeLimited serves an application for few callers, such as operators, an upstream or scrapers,
// until it is shut down, within the limits of a LimitListener. The application's limit on bodies
// is that of all bodies together.
func ServeLimited(app *fiber.App, listener net.Listener, events event.Recorder) error {
	server := app.Server()
	server.Handler, server.ReduceMemoryUsage = WithinMemory(app.Handler(), app.Config().BodyLimit, refuseLimited), true
	server.StreamRequestBody, server.DisablePreParseMultipartForm, server.ReadBufferSize = true, true, LimitedReaderBytes
	answerError := server.ErrorHandler
	server.ErrorHandler = func(c *fasthttp.RequestCtx, err error) {
		switch {
		case RefusedUnread(c.Conn()), errors.Is(err, ErrNoMemory):
			refuseLimited(c, ErrNoMemory)
			return
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			RefuseUnread(c.Conn())
		}
		answerError(c, err)
	}
	return app.Listener(LimitListener(listener, app.Config().BodyLimit, events))
}

// refuseLimited answers a request that did not run for lack of memory or because its head is
// malformed.
func refuseLimited(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, ErrNoMemory) {
		c.Error("no memory; nothing was done", fasthttp.StatusServiceUnavailable)
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		return
	}
	code := fasthttp.StatusBadRequest
	if errors.Is(err, ErrBodyTooLarge) {
		code = fasthttp.StatusRequestEntityTooLarge
	}
	c.Error(err.Error(), code)
}
