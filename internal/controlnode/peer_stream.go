package controlnode

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"endivespring/internal/consensus"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const (
	// acknowledgeTimeout is the longest wait for the next acknowledgement.
	// After it the connection counts as silent.
	acknowledgeTimeout = 800 * time.Millisecond
	minTransferRate    = 1 << 20   // bytes a second at which a large message may arrive
	largeMessageSize   = 128 << 10 // bytes
)

// peerStream is one stream to another control process. The peer acknowledges
// each message; a stream whose acknowledgements stop is given up.
type peerStream struct {
	fleet        string
	client       grpc.BidiStreamingClient[wirepb.ConsensusMessage, wirepb.Empty]
	acknowledged *ring.Ring[uint64]
	sent         uint64
	// lastLarge is the number of the latest lastLarge message, and extra how much
	// longer it may take.
	lastLarge uint64
	largeTime time.Duration
	watchdog  *time.Timer
	timedOut  *atomic.Bool
}

// newPeerStream returns a stream that calls cancel when it is silent.
func newPeerStream(fleet string, client grpc.BidiStreamingClient[wirepb.ConsensusMessage, wirepb.Empty], cancel func()) *peerStream {
	s := &peerStream{
		fleet: fleet, client: client, timedOut: &atomic.Bool{},
		acknowledged: ring.New[uint64]("peer-acknowledged", 1, ring.DropOldest),
	}
	s.watchdog = time.AfterFunc(acknowledgeTimeout, func() {
		s.timedOut.Store(true)
		cancel()
	})
	s.watchdog.Stop()
	return s
}

// send sends messages until the stream breaks or its context ends.
func (s *peerStream) send(ctx context.Context, out *ring.Ring[consensus.Message]) {
	defer s.watchdog.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return
		case count := <-s.acknowledged.Out():
			if waiting = count < s.sent; waiting {
				s.watchdog.Reset(s.timeoutAfter(count))
			} else {
				s.watchdog.Stop()
			}
		case m := <-out.Out():
			message := wire.FromMessage(&m, s.fleet)
			if s.countSent(proto.Size(message)) || !waiting {
				s.watchdog.Reset(s.timeoutAfter(s.sent - 1))
			}
			waiting = true
			if s.client.Send(message) != nil {
				return
			}
		}
	}
}

// receive counts acknowledgements and returns why the stream ended.
func (s *peerStream) receive(ctx context.Context) error {
	for count := uint64(1); ; count++ {
		if _, err := s.client.Recv(); err != nil {
			return err
		}
		_ = s.acknowledged.Put(ctx, count)
	}
}

// countSent numbers a message of a size in bytes and reports whether it is large.
func (s *peerStream) countSent(size int) bool {
	s.sent++
	if size < largeMessageSize {
		return false
	}
	s.lastLarge, s.largeTime = s.sent, time.Duration(size)*time.Second/minTransferRate
	return true
}

// timeoutAfter returns how long the acknowledgement after the first ones may take.
func (s *peerStream) timeoutAfter(acknowledged uint64) time.Duration {
	if acknowledged < s.lastLarge {
		return acknowledgeTimeout + s.largeTime
	}
	return acknowledgeTimeout
}
