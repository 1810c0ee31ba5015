package operator

import (
	"cmp"
	"context"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/controller"
	"endivespring/internal/ring"
)

const (
	requestTimeout = 8 * time.Second        // longest time for one request to one control process
	leaderTimeout  = time.Second            // longest wait to learn which control process leads
	dialTimeout    = time.Second            // longest time to open a connection
	retryDelay     = 200 * time.Millisecond // wait before all control processes are asked again
	pollInterval   = 100 * time.Millisecond // time between looks at where a version is in force
)

// Errors of the client.
var (
	// ErrNoLeader means that no control process that answered leads. Nothing
	// was changed.
	ErrNoLeader = eris.New("no control process leads; nothing was changed")
	// ErrUnreachable means that no control process could be reached. Nothing
	// was changed.
	ErrUnreachable = eris.New("no control process can be reached; nothing was changed")
	// ErrNoAnswer means that no answer to a question came. Questions change
	// nothing.
	ErrNoAnswer = eris.New("no answer from control; nothing was changed")
	// ErrRefused means that control refused the request. Nothing was changed.
	ErrRefused = eris.New("refused; nothing was changed")
	// ErrUnknown means that the command may have been accepted or not.
	ErrUnknown = eris.New("outcome unknown; send again with the same command id")
)

var errRedirect = eris.New("process does not lead")

// Client talks to the control processes of a fleet.
type Client struct {
	addresses   []string
	token       string
	retryPeriod time.Duration
	http        fasthttp.Client
}

// NewClient returns a client for the operator addresses of all control
// processes. It looks for a leader for as long as patience.
func NewClient(addresses []string, token string, retryPeriod time.Duration) *Client {
	return &Client{addresses: addresses, token: token, retryPeriod: retryPeriod, http: fasthttp.Client{
		MaxIdemponentCallAttempts: 1, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		Dial:       func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Status returns the status seen by the leader.
func (c *Client) Status() (*controller.Status, error) { return c.status(c.retryPeriod) }

func (c *Client) status(retryPeriod time.Duration) (*controller.Status, error) {
	var status controller.Status
	err := c.tryEach(retryPeriod, func(address string) error {
		status = controller.Status{}
		if err := c.do(address, fasthttp.MethodGet, "/v1/status", nil, &status); err != nil || status.Leads {
			return err
		}
		return errRedirect
	})
	return &status, err
}

// Processes asks each control process how it is, all at once.
func (c *Client) Processes() []Process {
	answers := ring.New[Process]("processes", len(c.addresses), ring.Refuse)
	for _, address := range c.addresses {
		go func() {
			var status controller.Status
			err := c.doTimeout(leaderTimeout, address, fasthttp.MethodGet, "/v1/status", nil, &status)
			process := Process{Address: address, State: processState(&status, err), Term: status.Term, Commit: status.Commit}
			_ = answers.Put(context.Background(), process)
		}()
	}
	var out []Process
	for range c.addresses {
		out = append(out, <-answers.Out())
	}
	slices.SortFunc(out, func(a, b Process) int {
		return cmp.Compare(slices.Index(c.addresses, a.Address), slices.Index(c.addresses, b.Address))
	})
	return out
}

func processState(status *controller.Status, err error) string {
	switch {
	case eris.Is(err, ErrRefused):
		return "refused"
	case err != nil:
		return "unreachable"
	case status.Leads:
		return "leads"
	case status.Leader == "":
		return "no-leader"
	default:
		return "follows"
	}
}

// Explain returns who owns a key, as the leader knows it.
func (c *Client) Explain(service, key string) (*controller.Explanation, error) {
	query := "/v1/explain?service=" + url.QueryEscape(service) + "&key=" + url.QueryEscape(key)
	var explanation controller.Explanation
	err := c.tryEach(c.retryPeriod, func(address string) error { return c.do(address, fasthttp.MethodGet, query, nil, &explanation) })
	return &explanation, err
}

// Preset returns the preset in force.
func (c *Client) Preset() (*PresetBody, error) {
	var body PresetBody
	err := c.tryEach(c.retryPeriod, func(address string) error { return c.do(address, fasthttp.MethodGet, "/v1/preset", nil, &body) })
	return &body, err
}

// Change sends a command to the leader. If one answer is lost, the command is
// sent on under the same id, so that it is executed once.
func (c *Client) Change(change *ChangeBody) (*ResultBody, error) {
	var result ResultBody
	unknown := false
	err := c.tryEach(c.retryPeriod, func(address string) error {
		err := c.do(address, fasthttp.MethodPost, "/v1/changes", change, &result)
		if eris.Is(err, ErrUnknown) {
			unknown = true
		}
		return err
	})
	if err != nil && unknown {
		return nil, ErrUnknown
	}
	return &result, err
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
		if status, err := c.status(0); err == nil {
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
