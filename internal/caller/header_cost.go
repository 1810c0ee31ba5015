package caller

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

const (
	// elementCost is what each field of a header takes, or each element of a list in one, in bytes:
	// as parsed by the library, as copied and as sent on.
	elementCost = 192
	// basicElements of each header are covered by the costs of phases.
	basicElements = 64
	// basicHeader is the size in bytes of a header whose storage the library may keep.
	basicHeader = 4 << 10
	// targetCopies is how often the target of a request is kept.
	targetCopies = 4
)

// elementEnds are the bytes that end a field or an element of a list.
var elementEnds = [...][]byte{{'\n'}, {','}, {';'}}

// headerEndings are how a header ends.
var headerEndings = [...][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// countElements returns how many fields and elements of lists a part of a header has at most. What
// follows the header is not counted.
func countElements(part []byte) int {
	for _, ending := range headerEndings {
		if end := bytes.Index(part, ending); end >= 0 {
			part = part[:end]
		}
	}
	n := 0
	for _, end := range elementEnds {
		n += bytes.Count(part, end)
	}
	return n
}

// elementsCost returns what that many elements of a header take, in bytes.
func elementsCost(elements int) int { return elementCost * max(0, elements-basicElements) }

// headerCost returns what a request's header takes while the request is read and run, in bytes.
func headerCost(header *fasthttp.RequestHeader) int {
	raw := header.RawHeaders()
	return 2*len(raw) + targetCopies*len(header.RequestURI()) + elementsCost(countElements(raw))
}

// ReleaseHeader makes the library drop the header of a request, unless it is small. Its storage would
// be kept for the next requests, on whatever connection they come.
func ReleaseHeader(c *fasthttp.RequestCtx) {
	header := &c.Request.Header
	raw := header.RawHeaders()
	if len(raw)+len(header.RequestURI()) > basicHeader || countElements(raw) > basicElements || len(header.PeekTrailerKeys()) > 0 {
		DropHeader(c)
	}
}

// DropHeader makes the library drop a header, which it may have parsed in part.
func DropHeader(c *fasthttp.RequestCtx) {
	c.Request.Header = fasthttp.RequestHeader{}
	*c.Request.URI() = fasthttp.URI{}
}
