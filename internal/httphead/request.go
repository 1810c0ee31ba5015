package httphead

import (
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// chunkedLength is the length that fasthttp gives a chunked body.
const chunkedLength = -1

// CheckRequest examines the header section of a request as it was received. It returns
// ErrFieldName if a line has no valid field name: fasthttp passes on a blank within a name, so that
// a line that frames the body for others is an ordinary one here.
func CheckRequest(header *fasthttp.RequestHeader) error {
	raw := header.RawHeaders()
	if len(raw) == 0 {
		return nil // no fields
	}
	_, err := checkFields(raw)
	return err
}

// RequestLength returns the bytes of a request's head as it was received. That of fasthttp may be
// longer: it adds a blank to each field that has none before its value.
func RequestLength(header *fasthttp.RequestHeader) int {
	return len(header.Method()) + len(header.RequestURI()) + len(header.Protocol()) + len("  \r\n") + len(header.RawHeaders())
}

// CheckTrailer examines the names of the fields after a chunked body that was read. It returns
// ErrFieldName if one is invalid.
func CheckTrailer(header *fasthttp.RequestHeader) error {
	if header.ContentLength() != chunkedLength {
		return nil
	}
	for _, name := range header.PeekTrailerKeys() {
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return ErrFieldName
		}
	}
	return nil
}
