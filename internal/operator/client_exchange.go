package operator

import (
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

func (c *Client) do(address, method, path string, body, out any) error {
	return c.doTimeout(requestTimeout, address, method, path, body, out)
}

func (c *Client) doTimeout(timeout time.Duration, address, method, path string, body, out any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrapf(ErrRefused, "encode request: %v", err)
		}
		request.SetBody(data)
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return readError(method, sendError(address, err))
	}
	return readError(method, decode(address, response, out))
}

// readError turns an unknown outcome of a GET into ErrNoAnswer, since a read
// has no outcome but its answer.
func readError(method string, err error) error {
	if method == fasthttp.MethodGet && eris.Is(err, ErrOutcomeUnknown) {
		return eris.Wrapf(ErrNoAnswer, "%v", err)
	}
	return err
}

// sendError distinguishes a request that was not sent, because no connection
// was opened, from one whose answer was lost.
func sendError(address string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return eris.Wrapf(ErrOutcomeUnknown, "%s: %v", address, err)
}

func decode(address string, response *fasthttp.Response, out any) error {
	code := response.StatusCode()
	if code == fasthttp.StatusOK {
		if err := json.Unmarshal(response.Body(), out); err != nil {
			return eris.Wrapf(ErrOutcomeUnknown, "%s: malformed answer: %v", address, err)
		}
		return nil
	}
	var body ErrorBody
	_ = json.Unmarshal(response.Body(), &body)
	switch {
	case code == fasthttp.StatusMisdirectedRequest || code == fasthttp.StatusServiceUnavailable:
		return errRedirect
	case code >= fasthttp.StatusInternalServerError:
		return eris.Wrapf(ErrOutcomeUnknown, "%s: HTTP %d: %s", address, code, body.Error)
	default:
		return eris.Wrapf(ErrRefused, "%s: HTTP %d: %s", address, code, body.Error)
	}
}
