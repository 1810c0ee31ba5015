// Package relay provides TCP proxies that simulate faults of the network path between
// two processes, for scenarios and fault injection.
package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endivespring/internal/duty"
)

const dialTimeout = time.Second // enough for loopback, where a target accepts or refuses at once

// Relay is a TCP proxy to one target address. It is safe for concurrent use.
type Relay struct {
	listener   net.Listener
	target     string
	group      *duty.Group
	condition  atomic.Pointer[Condition]
	generation atomic.Pointer[generation]
	// opened counts connections. Those numbered up to blackholedUpTo lose all bytes.
	opened, blackholedUpTo atomic.Uint64
}

// New starts a relay to a target address. It listens on a free loopback port until
// the context ends or Stop is called.
func New(ctx context.Context, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen on relay address")
	}
	r := &Relay{listener: listener, target: target, group: duty.NewGroup(ctx)}
	r.condition.Store(&Condition{})
	r.generation.Store(newGeneration(r.group.Context()))
	context.AfterFunc(r.group.Context(), func() { _ = listener.Close() })
	r.group.Go("accept", r.accept)
	return r, nil
}

// Address returns the address at which the relay accepts connections.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the condition of the path. Open connections stay open.
func (r *Relay) Set(condition Condition) { r.condition.Store(&condition) }

// Reset closes every open connection with a TCP reset.
func (r *Relay) Reset() { r.generation.Swap(newGeneration(r.group.Context())).end() }

// BlackholeOpen turns all open connections into black holes: they stay open, but their
// bytes are dropped for good. New connections work.
func (r *Relay) BlackholeOpen() { r.blackholedUpTo.Store(r.opened.Load()) }

// Stop closes the listener and all connections and waits until they are closed. It
// returns the error that ended the relay earlier, if any.
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
			return eris.Wrap(err, "accept relay connection")
		}
		c := &connection{relay: r, number: r.opened.Add(1), client: client, generation: r.generation.Load()}
		r.group.Go("connection", c.run)
	}
}
