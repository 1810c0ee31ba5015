// Package relay provides TCP paths between processes whose condition can be
// changed from outside, for scenarios and fault injection.
package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/duty"
)

const dialTimeout = time.Second // longest time to reach the target; on loopback it answers or refuses at once

// Relay is a path from any process to one address.
type Relay struct {
	listener   net.Listener
	target     string
	group      *duty.Group
	condition  atomic.Pointer[Condition]
	generation atomic.Pointer[generation]
	// opened counts connections; those up to silenced lose all their bytes.
	opened, blackholedUpTo atomic.Uint64
}

// New returns a relay to an address, on a loopback address of its own.
func New(ctx context.Context, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a relay")
	}
	r := &Relay{listener: listener, target: target, group: duty.NewGroup(ctx)}
	r.condition.Store(&Condition{})
	r.generation.Store(newGeneration(r.group.Context()))
	context.AfterFunc(r.group.Context(), func() { _ = listener.Close() })
	r.group.Go("accept", r.accept)
	return r, nil
}

// Address returns where the relay takes connections.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the condition of the path. Open connections stay open.
func (r *Relay) Set(condition Condition) { r.condition.Store(&condition) }

// Reset closes every open connection with a reset.
func (r *Relay) Reset() { r.generation.Swap(newGeneration(r.group.Context())).end() }

// Silence loses, for good, all bytes of the connections open now. New
// connections work.
func (r *Relay) Silence() { r.blackholedUpTo.Store(r.opened.Load()) }

// Stop closes everything and waits for it. It returns the error that ended the
// relay before, if any.
func (r *Relay) Stop() error {
	r.group.Stop()
	return r.group.Wait()
}

func (r *Relay) accept(ctx context.Context) error {
	for {
		client, err := r.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept at a relay")
		}
		c := &connection{relay: r, number: r.opened.Add(1), client: client, generation: r.generation.Load()}
		r.group.Go("connection", c.run)
	}
}
