package operator

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"endivespring/internal/controller"
	"endivespring/internal/ring"
)

const (
	requestTimeout = 8 * time.Second        // longest time for one request to one control process
	pollInterval   = 100 * time.Millisecond // time between looks at where a version is in force
)

// Errors of the client.
var (
	// ErrNoLeader means that no control process that answered leads.
	ErrNoLeader = eris.New("no control process leads")
	// ErrUnknown means that the command may have been accepted or not.
	ErrUnknown = eris.New("outcome unknown")
)

// Client talks to the control processes of a fleet.
type Client struct {
	addresses []string
	token     string
	http      fasthttp.Client
}

// NewClient returns a client for the operator addresses of all control
// processes.
func NewClient(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, http: fasthttp.Client{
		MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Status returns the status seen by the leader.
func (c *Client) Status() (*controller.Status, error) {
	answer, err := c.findLeader()
	return answer.status, err
}

// findLeader asks every control process at once, so that a silent one costs no
// time, and returns the answer of the one that leads.
func (c *Client) findLeader() (statusAnswer, error) {
	answers := ring.New[statusAnswer]("status", len(c.addresses), ring.Refuse)
	for _, address := range c.addresses {
		go func() {
			answer := statusAnswer{address: address, status: &controller.Status{}}
			answer.err = c.do(address, fasthttp.MethodGet, "/v1/status", nil, answer.status)
			_ = answers.Put(context.Background(), answer)
		}()
	}
	for range c.addresses {
		answer := <-answers.Out()
		if answer.err == nil && answer.status.Leads {
			return answer, nil
		} else if eris.Is(answer.err, errRefused) {
			return statusAnswer{}, answer.err
		}
	}
	return statusAnswer{}, ErrNoLeader
}

// leaderFirst returns all addresses, that of the leader first if one is known.
func (c *Client) leaderFirst() []string {
	leader, err := c.findLeader()
	if err != nil {
		return c.addresses
	}
	return append([]string{leader.address}, lo.Without(c.addresses, leader.address)...)
}

// Explain returns who owns a key.
func (c *Client) Explain(service, key string) (*controller.Explanation, error) {
	query := "/v1/explain?service=" + url.QueryEscape(service) + "&key=" + url.QueryEscape(key)
	last := ErrNoLeader
	for _, address := range c.leaderFirst() {
		var explanation controller.Explanation
		err := c.do(address, fasthttp.MethodGet, query, nil, &explanation)
		if err == nil {
			return &explanation, nil
		}
		last = err
	}
	return nil, last
}

// Change sends a command to the leader. If one answer is lost, the command is
// sent on under the same id, so that it is executed once.
func (c *Client) Change(change *ChangeBody) (*ResultBody, error) {
	unknown := false
	for _, address := range c.leaderFirst() {
		var result ResultBody
		err := c.do(address, fasthttp.MethodPost, "/v1/changes", change, &result)
		switch {
		case err == nil:
			return &result, nil
		case eris.Is(err, errRefused):
			return nil, err
		case eris.Is(err, ErrUnknown):
			unknown = true
		}
	}
	if unknown {
		return nil, ErrUnknown
	}
	return nil, ErrNoLeader
}

// Await waits until a config version is in force everywhere: no router takes
// work under an older one. It returns the last status seen, and false if the
// limit passed first.
func (c *Client) Await(ctx context.Context, config uint64, limit time.Duration) (*controller.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last *controller.Status
	for {
		if status, err := c.Status(); err == nil {
			last = status
			if uint64(status.Config) >= config && status.Everywhere {
				return last, true
			}
		}
		select {
		case <-ctx.Done():
			return last, false
		case <-ticker.C:
		}
	}
}

var (
	errRefused  = eris.New("request refused")
	errRedirect = eris.New("process does not lead")
)

func (c *Client) do(address, method, path string, body, out any) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		request.SetBody(data)
	}
	if err := c.http.DoTimeout(request, response, requestTimeout); err != nil {
		return eris.Wrapf(ErrUnknown, "%s: %v", address, err)
	}
	return decode(response, out)
}

func decode(response *fasthttp.Response, out any) error {
	code := response.StatusCode()
	if code == fasthttp.StatusOK {
		return eris.Wrap(json.Unmarshal(response.Body(), out), "decode answer")
	}
	var body ErrorBody
	_ = json.Unmarshal(response.Body(), &body)
	switch {
	case code == fasthttp.StatusMisdirectedRequest || code == fasthttp.StatusServiceUnavailable:
		return errRedirect
	case code == fasthttp.StatusGatewayTimeout:
		return eris.Wrap(ErrUnknown, body.Error)
	default:
		return eris.Wrapf(errRefused, "HTTP %d: %s", code, body.Error)
	}
}
