package controlnode

import (
	"context"
	"io"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"endivespring/internal/ring"
	"endivespring/internal/wire/wirepb"
)

// lateStream is a router's stream that has ended for the sender; its last message is
// received only after release.
type lateStream struct {
	grpc.ServerStream
	ended    context.Context
	release  chan struct{}
	messages int
}

// Context returns a context that has ended.
func (s *lateStream) Context() context.Context { return s.ended }

// Send fails.
func (s *lateStream) Send(*wirepb.SessionDown) error { return io.ErrClosedPipe }

// Recv returns the message once it is released, and then the end of the stream.
func (s *lateStream) Recv() (*wirepb.SessionUp, error) {
	<-s.release
	if s.messages == 0 {
		return nil, io.EOF
	}
	s.messages--
	return &wirepb.SessionUp{Fleet: "f"}, nil
}

// Guards against a stream that the controller takes up again after its end, or closes at
// a message, because the end is reported before the last message or along with it.
func TestEndOfAStreamFollowsItsMessages(t *testing.T) {
	for range 200 {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		stream := &lateStream{ended: ended, release: make(chan struct{}), messages: 1}
		events := ring.New[streamEvent]("events", 4, ring.Refuse)
		server := &sessionServer{fleet: "f", streamEvents: events}
		assert.Assert(t, server.Attach(stream) != nil)
		close(stream.release)
		ctx, stop := context.WithTimeout(context.Background(), testTimeout)
		first, err := events.Take(ctx)
		assert.NilError(t, err)
		assert.Assert(t, !first.closed, "the end comes first")
		second, err := events.Take(ctx)
		assert.NilError(t, err)
		assert.Assert(t, second.closed && second.stream == first.stream, "the end comes last")
		stop()
	}
}
