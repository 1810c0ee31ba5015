package caller

import "github.com/valyala/fasthttp"

// WithinMemory returns a handler that counts what requests and their answers hold, and passes
// requests for which there is no memory to refuse, with ErrNoMemory. An answer is always sent:
// what was asked for was done.
func WithinMemory(handle fasthttp.RequestHandler, refuse func(*fasthttp.RequestCtx, error)) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		if StartRequest(c.Conn(), len(c.PostBody())+2*len(c.Request.Header.Header())) {
			handle(c)
		} else {
			refuse(c, ErrNoMemory)
			c.SetConnectionClose()
		}
		if !StartAnswer(c.Conn(), len(c.Response.Body())) {
			c.SetConnectionClose()
		}
	}
}
