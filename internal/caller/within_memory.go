package caller

import "github.com/valyala/fasthttp"

// WithinMemory returns a handler that counts what requests and their answers hold, and passes
// requests for which there is no memory to refuse, with ErrNoMemory, and those with a malformed
// head with its error. Reads run one at a time, and one for whose answer there is no memory is
// refused. Any other answer is always sent: what was asked for was done. The server streams bodies,
// which are read here, up to maxBody bytes.
func WithinMemory(handle fasthttp.RequestHandler, maxBody int, refuse func(*fasthttp.RequestCtx, error)) fasthttp.RequestHandler {
	reads := newReadGate()
	return func(c *fasthttp.RequestCtx) {
		body, err := ReadBody(c, maxBody)
		unread := err != nil
		if err == nil {
			c.Request.SetBodyRaw(body)
			if !StartRequest(c.Conn(), &c.Request.Header, cap(body)) {
				err = ErrNoMemory
			}
		}
		if err == nil && isRead(c) {
			if reads.enter() {
				defer reads.leave()
			} else {
				err = ErrNoMemory
			}
		}
		if err == nil {
			handle(c)
		} else {
			refuse(c, err)
			c.SetConnectionClose()
		}
		if unread {
			RefuseUnread(c.Conn())
		}
		if StartAnswer(c.Conn(), len(c.Response.Body())) {
			return
		}
		if isRead(c) {
			c.Response.Reset()
			refuse(c, ErrNoMemory)
			StartAnswer(c.Conn(), len(c.Response.Body()))
		}
		c.SetConnectionClose()
	}
}
