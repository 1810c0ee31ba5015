package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/tap"

	"endivespring/internal/memory"
)

// fleetField is the header field of streams that names the sender's fleet.
const fleetField = "endivespring-fleet"

// Limits on connections that have not named the fleet yet.
const (
	maxStrangers     = 192
	strangerTime     = 10 * time.Second       // until one must have named the fleet
	strangerKept     = 500 * time.Millisecond // for which one is not closed for another
	strangerFree     = 4 << 10                // bytes that each may send in any case
	maxStreams       = 16                     // streams of a connection at the same time
	maxHeader        = 16 << 10               // bytes of a stream's header
	handshakeTimeout = 10 * time.Second
)

// Guard bounds what connections to a server hold until they have named its fleet, in the header of
// a stream or in a message. It is safe for concurrent use.
type Guard struct {
	fleet     string
	strangers [maxStrangers]atomic.Pointer[guardedConnection]
	budget    *memory.Budget
}

// NewGuard returns the guard of a server of a fleet. All connections that have not named it may
// send the given number of bytes together, beside strangerFree each. It bounds the first message
// of processes that name the fleet in messages only.
func NewGuard(fleet string, bytes int) *Guard {
	return &Guard{fleet: fleet, budget: memory.NewBudget(bytes)}
}

// NewServer returns a server for connections of Listen.
func (g *Guard) NewServer() *grpc.Server {
	return newServer(grpc.Creds(guardCredentials{insecure.NewCredentials()}), grpc.InTapHandle(g.admitNamed))
}

// Listen returns a listener over another one. Its connections must name the fleet.
func (g *Guard) Listen(listener net.Listener) net.Listener { return &guardedListener{listener, g} }

// NameFleet returns the context of a stream to a process of a fleet.
func NameFleet(ctx context.Context, fleet string) context.Context {
	return metadata.AppendToOutgoingContext(ctx, fleetField, fleet)
}

// Admit lifts the limits on the connection of a stream whose sender has named the fleet.
func Admit(ctx context.Context) {
	if remote, ok := grpcpeer.FromContext(ctx); ok {
		if info, ok := remote.AuthInfo.(guardInfo); ok {
			info.connection.admit()
		}
	}
}

// admitNamed admits the connection of a stream whose header names the fleet.
func (g *Guard) admitNamed(ctx context.Context, info *tap.Info) (context.Context, error) {
	if names := info.Header.Get(fleetField); len(names) == 1 && names[0] == g.fleet {
		Admit(ctx)
	}
	return ctx, nil
}

// add registers a new connection. If there are too many, the oldest one is closed. It returns
// false if none may be.
func (g *Guard) add(c *guardedConnection) bool {
	for i := range g.strangers {
		if g.strangers[i].CompareAndSwap(nil, c) {
			return true
		}
	}
	oldest := 0
	var chosen *guardedConnection
	for i := range g.strangers {
		if other := g.strangers[i].Load(); other != nil && time.Since(other.began) >= strangerKept && (chosen == nil || other.began.Before(chosen.began)) {
			oldest, chosen = i, other
		}
	}
	if chosen == nil || !g.strangers[oldest].CompareAndSwap(chosen, c) {
		return false
	}
	_ = chosen.Close()
	return true
}

func (g *Guard) remove(c *guardedConnection) {
	for i := range g.strangers {
		g.strangers[i].CompareAndSwap(c, nil)
	}
}
