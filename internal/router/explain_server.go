package router

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"endivespring/internal/event"
	"endivespring/internal/gateway"
	"endivespring/internal/peer"
	"endivespring/internal/ring"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

const (
	questionCapacity = 16 // operators' questions queued for the gateway duty
	questionTimeout  = 2 * time.Second
)

// explainServer is the gRPC service for operators' questions.
type explainServer struct {
	wirepb.UnimplementedExplainerServer
	fleet     string
	events    event.Recorder
	questions *ring.Ring[*whereQuestion]
}

// Where passes a question to the gateway duty and waits for its answer.
func (s *explainServer) Where(ctx context.Context, request *wirepb.WhereRequest) (*wirepb.WhereReply, error) {
	if request.GetFleet() != s.fleet {
		return nil, peer.RefuseFleet(ctx, s.events, s.fleet, request.GetFleet())
	}
	peer.Admit(ctx)
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	q := &whereQuestion{question: wire.ToQuestion(request), reply: ring.NewReply[gateway.Whereabouts]()}
	if s.questions.Put(ctx, q) != nil {
		return nil, status.Error(codes.ResourceExhausted, "too many questions at once")
	}
	answer, err := q.reply.Take(ctx)
	if err != nil {
		return nil, status.Error(codes.DeadlineExceeded, "the gateway did not answer in time")
	}
	return wire.FromWhereabouts(&answer), nil
}
