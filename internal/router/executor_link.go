package router

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
	"endivespring/internal/wire"
	"endivespring/internal/wire/wirepb"
)

// executorLink receives the messages of one gateway. It is owned by the goroutine that
// receives them.
type executorLink struct {
	id       uint64
	clock    clock.Clock
	executor *ring.Ring[*submission]
	sink     *linkSink
	bodies   bodyJoiner
}

// receive handles messages until the stream fails, or the gateway half-closes it because
// it sends no more calls. It reports whether the latter is the case: answers then may
// still be sent.
func (l *executorLink) receive(ctx context.Context, stream grpc.BidiStreamingServer[wirepb.DoorUp, wirepb.DoorDown]) (halfClosed bool) {
	for {
		up, err := stream.Recv()
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		if l.handle(ctx, up) != nil {
			return false
		}
	}
}

// handle handles one message. An error means that the stream must not be used any more.
func (l *executorLink) handle(ctx context.Context, up *wirepb.DoorUp) error {
	if up.GetWithdraw() != 0 {
		_ = l.executor.Put(ctx, &submission{link: l.id, withdraw: up.GetWithdraw()})
	}
	switch {
	case up.GetPing() != 0:
		_ = l.sink.out.Put(ctx, &wirepb.DoorDown{Pong: up.GetPing()})
	case up.GetCancel() != 0:
		if !l.bodies.drop(up.GetCancel()) {
			_ = l.executor.Put(ctx, &submission{link: l.id, cancel: up.GetCancel()})
		}
	case up.GetPart() != nil:
		in, err := l.bodies.add(up.GetPart())
		if err != nil {
			return err
		}
		if in != nil {
			l.submit(ctx, &in.call)
		}
	default:
		l.begin(ctx, up.GetCall())
	}
	return nil
}

// begin submits a call, or waits for the parts of its body.
func (l *executorLink) begin(ctx context.Context, message *wirepb.Call) {
	request := wire.ToCall(message, l.clock.Now())
	switch {
	case message.GetBodyLength() == 0:
		l.submit(ctx, &request)
	case !l.bodies.begin(&request, message.GetBodyLength()):
		l.refuse(ctx, &request)
	}
}

// submit queues a call for the executor duty.
func (l *executorLink) submit(ctx context.Context, request *call.Call) {
	if l.executor.Put(ctx, &submission{link: l.id, call: *request}) != nil {
		l.refuse(ctx, request)
	}
}

func (l *executorLink) refuse(ctx context.Context, request *call.Call) {
	l.sink.answer(ctx, call.Refusal(request, overloadVerdict(request), verdict.ReasonOverloaded))
}

// overloadVerdict returns the verdict of a call that was refused before the executor
// looked at it. An earlier attempt of a resend may have run.
func overloadVerdict(request *call.Call) verdict.Verdict {
	if request.Resend && !request.Idempotent {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
