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
	"endivespring/internal/httphead"
	"endivespring/internal/ring"
)

const (
	requestTimeout = 8 * time.Second        // bound on one request to one control process
	leaderTimeout  = time.Second            // bound on asking one process for its status
	dialTimeout    = time.Second            // bound on opening a connection
	retryDelay     = 200 * time.Millisecond // wait between rounds over all control processes
	pollInterval   = 100 * time.Millisecond // time between polls of the version in force
	maxAnswerBody  = 16 << 20               // bytes of an answer; a status of 2,400 routers takes about one MiB
)

// Errors of the client.
var (
	// ErrNoLeader means that control processes answered, but none is a leader
	// that can accept the request. Nothing was changed.
	ErrNoLeader = eris.New("no control process leads; nothing was changed")
	// ErrUnreachable means that no control process could be reached. Nothing
	// was changed.
	ErrUnreachable = eris.New("no control process can be reached; nothing was changed")
	// ErrNoAnswer means that the answer to a read was lost. Reads change
	// nothing.
	ErrNoAnswer = eris.New("no answer from control; nothing was changed")
	// ErrRefused means that a control process refused the request. Nothing was
	// changed.
	ErrRefused = eris.New("refused; nothing was changed")
	// ErrOutcomeUnknown means that the command may or may not have been accepted. Sent
	// again with the same command ID, it takes effect at most once.
	ErrOutcomeUnknown = eris.New("outcome unknown; send again with the same command id")
)

var errRedirect = eris.New("process is not the leader or not ready")

// Client sends operators' requests to the control processes of a fleet.
type Client struct {
	addresses   []string
	token       string
	retryPeriod time.Duration
	http        fasthttp.Client
}

// NewClient returns a client for the operator addresses of all control
// processes. Requests are retried for the given period while no leader answers.
// The library's own retries are off, since only the client knows which requests
// may be repeated.
func NewClient(addresses []string, token string, retryPeriod time.Duration) *Client {
	return &Client{addresses: addresses, token: token, retryPeriod: retryPeriod, http: fasthttp.Client{
		Transport: httphead.Transport{}, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswerBody,
		Dial:       func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Status returns the leader's status of the fleet.
func (c *Client) Status() (*controller.Status, error) { return c.status(c.retryPeriod) }

func (c *Client) status(retryPeriod time.Duration) (*controller.Status, error) {
	var status controller.Status
	err := c.tryEach(retryPeriod, func(address string) error {
		status = controller.Status{}
		if err := c.do(address, fasthttp.MethodGet, "/v1/status", nil, &status); err != nil || status.IsLeader {
			return err
		}
		return errRedirect
	})
	return &status, err
}

// Processes asks all control processes concurrently for their state. The result
// is in the order of the addresses.
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
	case status.IsLeader:
		return "leads"
	case status.Leader == "":
		return "no-leader"
	default:
		return "follows"
	}
}

// Explain returns the owner of a key, as the leader knows it.
func (c *Client) Explain(service, key string) (*controller.Explanation, error) {
	query := "/v1/explain?service=" + url.QueryEscape(service) + "&key=" + url.QueryEscape(key)
	var explanation controller.Explanation
	err := c.tryEach(c.retryPeriod, func(address string) error { return c.do(address, fasthttp.MethodGet, query, nil, &explanation) })
	return &explanation, err
}

// Preset returns the preset in force, as the leader knows it.
func (c *Client) Preset() (*PresetBody, error) {
	var body PresetBody
	err := c.tryEach(c.retryPeriod, func(address string) error { return c.do(address, fasthttp.MethodGet, "/v1/preset", nil, &body) })
	return &body, err
}

// Change sends a command to the leader. After a lost answer it is sent again
// under the same command ID, so that it takes effect at most once. The outcome
// stays unknown if a later attempt fails, even if that one was refused.
func (c *Client) Change(change *ChangeBody) (*ResultBody, error) {
	var result ResultBody
	unknown := false
	err := c.tryEach(c.retryPeriod, func(address string) error {
		err := c.do(address, fasthttp.MethodPost, "/v1/changes", change, &result)
		if eris.Is(err, ErrOutcomeUnknown) {
			unknown = true
		}
		return err
	})
	if err != nil && unknown {
		return nil, ErrOutcomeUnknown
	}
	return &result, err
}

// Await polls until a config version is in force everywhere, that is until no
// router accepts requests under an older one. It returns the last status seen,
// and false if the limit passed first.
func (c *Client) Await(ctx context.Context, config uint64, limit time.Duration) (*controller.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last *controller.Status
	for {
		if status, err := c.status(0); err == nil {
			last = status
			if uint64(status.ConfigVersion) >= config && status.InForceEverywhere {
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
