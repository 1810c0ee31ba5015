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
	// acknowledgeTimeout bounds the wait for the next acknowledgement. After it
	// the connection counts as lost.
	acknowledgeTimeout = 800 * time.Millisecond
	minTransferRate    = 1 << 20   // bytes per second; a large message's time at this rate is added to acknowledgeTimeout
	largeMessageSize   = 128 << 10 // bytes from which a message gets extra time
)

// peerStream is one stream of messages to another control process. The peer
// acknowledges each message; the stream ends if acknowledgements stop.
type peerStream struct {
	fleet        string
	client       grpc.BidiStreamingClient[wirepb.ConsensusMessage, wirepb.Empty]
	acknowledged *ring.Ring[uint64]
	sent         uint64
	// lastLarge is the number of the latest large message, largeExtra the extra
	// time for its acknowledgement.
	lastLarge  uint64
	largeExtra time.Duration
	watchdog   *time.Timer
	timedOut   *atomic.Bool
}

// newPeerStream returns a stream that calls cancel on a missing
// acknowledgement.
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

// send sends messages until the stream fails or the context ends.
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

// receive counts acknowledgements until the stream ends, and returns the error
// that ended it.
func (s *peerStream) receive(ctx context.Context) error {
	for count := uint64(1); ; count++ {
		if _, err := s.client.Recv(); err != nil {
			return err
		}
		_ = s.acknowledged.Put(ctx, count)
	}
}

// countSent numbers a message of the given size in bytes and reports whether
// the message is large.
func (s *peerStream) countSent(size int) bool {
	s.sent++
	if size < largeMessageSize {
		return false
	}
	s.lastLarge, s.largeExtra = s.sent, time.Duration(size)*time.Second/minTransferRate
	return true
}

// timeoutAfter returns how long to wait for the next acknowledgement once the
// given number of messages are acknowledged. The extra time of a large message
// holds until that message is acknowledged.
func (s *peerStream) timeoutAfter(acknowledged uint64) time.Duration {
	if acknowledged < s.lastLarge {
		return acknowledgeTimeout + s.largeExtra
	}
	return acknowledgeTimeout
}
