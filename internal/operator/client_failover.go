package operator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"endivespring/internal/controller"
	"endivespring/internal/ring"
)

// leaderFirst returns all addresses with that of the leader, if one answers, in
// front. It asks all control processes concurrently, so that an unresponsive
// one delays the search only if no leader is found.
func (c *Client) leaderFirst() []string {
	leaders := ring.New[string]("leaders", len(c.addresses), ring.Refuse)
	for _, address := range c.addresses {
		go func() {
			var status controller.Status
			if c.doTimeout(leaderTimeout, address, fasthttp.MethodGet, "/v1/status", nil, &status) != nil || !status.IsLeader {
				address = ""
			}
			_ = leaders.Put(context.Background(), address)
		}()
	}
	for range c.addresses {
		if leader := <-leaders.Out(); leader != "" {
			return append([]string{leader}, lo.Without(c.addresses, leader)...)
		}
	}
	return c.addresses
}

// tryEach calls try for the leader and then for the other control processes, in
// rounds, until one call succeeds or is refused, or the retry period has
// passed. It makes at least one round.
func (c *Client) tryEach(retryPeriod time.Duration, try func(address string) error) error {
	end := time.Now().Add(retryPeriod)
	for {
		last := ErrUnreachable
		for _, address := range c.leaderFirst() {
			err := try(address)
			if err == nil || eris.Is(err, ErrRefused) {
				return err
			}
			last = moreUncertain(last, err)
		}
		if time.Now().Add(retryDelay).After(end) {
			return last
		}
		<-time.After(retryDelay)
	}
}

// moreUncertain returns which of two errors to report after two control
// processes failed. A lost answer goes before ErrNoLeader, and that before
// ErrUnreachable.
func moreUncertain(last, err error) error {
	switch {
	case eris.Is(last, ErrOutcomeUnknown) || eris.Is(last, ErrNoAnswer) || eris.Is(err, ErrUnreachable):
		return last
	case eris.Is(err, errRedirect):
		return ErrNoLeader
	default:
		return err
	}
}
