// Package httphead checks heads of HTTP/1.1 messages, those of responses before they are parsed.
// fasthttp accepts some that are malformed, and parses them into another message than the one
// that was sent.
package httphead

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"endivespring/internal/call"
)

// Errors of a malformed head.
var (
	// ErrStatus means that a response has no valid status. fasthttp reads 000 as 200.
	ErrStatus = eris.New("response status is not a number from 100 to 599")
	// ErrFieldName means that a line is no field, or that the name of a field is not a token
	// (RFC 9110, section 5.1). fasthttp ignores blanks at the end of a name and passes on
	// those within it. A line that begins with a blank is a folded value (RFC 9112, section
	// 5.2) or a field whose name begins with one; neither is accepted.
	ErrFieldName = eris.New("message has a header line without a valid field name")
)

// checkResponse examines a response that begins with data, empty lines before it included. It
// returns the length of the head in bytes, zero if data has only a part of it. An invalid line
// is reported as soon as it is complete.
func checkResponse(data []byte) (int, error) {
	start := len(data) - len(bytes.TrimLeft(data, "\r\n"))
	line, fields, complete := bytes.Cut(data[start:], []byte{'\n'})
	if !complete {
		return 0, nil
	}
	if !validStatusLine(bytes.TrimRight(line, "\r")) {
		return 0, ErrStatus
	}
	length, err := checkFields(fields)
	if err != nil || length == 0 {
		return 0, err
	}
	return len(data) - len(fields) + length, nil
}

// checkFields examines a header or trailer section that begins with data. It returns its
// length in bytes with the empty line that ends it, zero if data has only a part of it.
func checkFields(data []byte) (int, error) {
	for rest := data; ; {
		line, after, complete := bytes.Cut(rest, []byte{'\n'})
		if !complete {
			return 0, nil
		}
		rest = after
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			return len(data) - len(rest), nil
		}
		name, _, isField := bytes.Cut(line, []byte{':'})
		if !isField || !httpguts.ValidHeaderFieldName(string(name)) {
			return 0, ErrFieldName
		}
	}
}

func validStatusLine(line []byte) bool {
	_, rest, _ := bytes.Cut(line, []byte{' '})
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	status, err := strconv.ParseUint(string(text), 10, 16)
	return err == nil && len(text) == 3 && call.ValidStatus(int(status))
}
