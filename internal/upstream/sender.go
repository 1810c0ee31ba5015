package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"endivespring/internal/admission"
	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/event"
	"endivespring/internal/executor"
	"endivespring/internal/verdict"
)

const (
	deadlineGrace = 20 * time.Millisecond  // time an answer may take beyond the run's deadline
	abortGrace    = 100 * time.Millisecond // time an answer may take after the run was cancelled
)

// Sender carries runs to an upstream, each once, over a connection of its own.
// It is owned by one duty.
type Sender struct {
	clock      clock.Clock
	events     event.Recorder
	maxBody    int
	dialect    Dialect
	connection *connection
	buffer     bytes.Buffer
	writer     *bufio.Writer
}

// NewSender returns a sender without a connection that accepts answers of up
// to maxBody bytes.
func NewSender(c clock.Clock, events event.Recorder, maxBody int, dialect Dialect) *Sender {
	s := &Sender{clock: c, events: events, maxBody: maxBody, dialect: dialect}
	s.writer = bufio.NewWriter(&s.buffer)
	return s
}

// Run hands one run to the upstream and returns how it ended. When ctx ends,
// the answer has abortGrace left to arrive.
func (s *Sender) Run(ctx context.Context, run *executor.Run) executor.Outcome {
	if reason := s.expired(run); reason != verdict.ReasonNone {
		return outcome(run, verdict.NotRun, reason, admission.Neutral)
	}
	if err := s.connect(run.Upstream.Address); errors.Is(err, syscall.ECONNREFUSED) {
		return outcome(run, verdict.NotRun, verdict.ReasonUpstreamGone, admission.Failed)
	} else if err != nil {
		return outcome(run, verdict.NotRun, verdict.ReasonConnection, admission.Failed)
	}
	if err := s.encode(run); err != nil {
		return outcome(run, verdict.NotRun, verdict.ReasonBadRequest, admission.Neutral)
	}
	used := s.connection
	used.expire(run.Deadline.Sub(s.clock.Now()) + deadlineGrace)
	stop := context.AfterFunc(ctx, func() { used.expire(abortGrace) })
	out := s.exchange(run)
	if stop() {
		return out
	}
	if s.connection != nil {
		s.retire("cancelled")
	}
	if out.Answer.Reason == verdict.ReasonDeadline && s.clock.Now() < run.Deadline {
		return outcome(run, verdict.MayHaveRun, verdict.ReasonCancelled, admission.Neutral)
	}
	return out
}

// Close closes the connection, if there is one.
func (s *Sender) Close() {
	if s.connection != nil {
		s.connection.close()
		s.connection = nil
	}
}

// expired returns why a run must not be handed over any more, or no reason.
func (s *Sender) expired(run *executor.Run) verdict.Reason {
	switch now := s.clock.Now(); {
	case now >= run.Fence && run.Fence < run.Call.Deadline:
		return verdict.ReasonLeaseExpired
	case now >= run.Fence, now >= run.Deadline:
		return verdict.ReasonDeadline
	default:
		return verdict.ReasonNone
	}
}

// connect makes sure that there is a connection fit for another request.
func (s *Sender) connect(address string) error {
	now := s.clock.Now()
	if s.connection != nil && s.connection.reusable(address, now) {
		return nil
	}
	s.Close()
	var err error
	s.connection, err = connect(address, now)
	return err
}

// encode writes the request into the buffer.
func (s *Sender) encode(run *executor.Run) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	// The wall clock is read first: a pause between the two readings makes the
	// grant's end earlier, never later.
	wall := time.Now()
	now := s.clock.Now()
	s.dialect.Encode(request, run, run.Deadline.Sub(now), wall.Add(run.Fence.Sub(now)))
	s.buffer.Reset()
	s.writer.Reset(&s.buffer)
	if err := request.Write(s.writer); err != nil {
		return eris.Wrap(err, "encode request")
	}
	return eris.Wrap(s.writer.Flush(), "encode request")
}

// exchange writes the request and reads the answer. Only a request of which
// nothing was written is proved not to have run.
func (s *Sender) exchange(run *executor.Run) executor.Outcome {
	if reason := s.expired(run); reason != verdict.ReasonNone {
		return outcome(run, verdict.NotRun, reason, admission.Neutral)
	}
	if n, err := s.connection.net.Write(s.buffer.Bytes()); err != nil {
		s.retire("write")
		if n == 0 {
			return outcome(run, verdict.NotRun, verdict.ReasonConnection, admission.Failed)
		}
		return outcome(run, verdict.MayHaveRun, verdict.ReasonConnection, admission.Failed)
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := s.connection.read(response, s.maxBody, func() bool { return s.dialect.Answers(run, response) }); err != nil {
		s.retire("read")
		return failed(run, err)
	}
	s.connection.rest(s.clock.Now())
	out := s.dialect.Decode(run, response)
	switch {
	case out.Answer.Reason == verdict.ReasonTruncated:
		s.events.Record(event.AnswerDropped, event.F("request", run.Call.RequestID), event.F("upstream", run.Upstream.Name))
		s.retire("answer")
	case response.ConnectionClose() || s.connection.ended:
		s.Close()
	}
	return out
}

// retire gives up the connection: what else may arrive on it is not read.
func (s *Sender) retire(cause string) {
	s.events.Record(event.ConnectionRetired, event.F("address", s.connection.address), event.F("cause", cause))
	s.Close()
}

// failed classifies a failure after the request was written.
func failed(run *executor.Run, err error) executor.Outcome {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return outcome(run, verdict.MayHaveRun, verdict.ReasonDeadline, admission.TimedOut)
	case eris.Is(err, fasthttp.ErrBodyTooLarge):
		return outcome(run, verdict.MayHaveRun, verdict.ReasonBodyTooLarge, admission.Good)
	default:
		return outcome(run, verdict.MayHaveRun, verdict.ReasonConnection, admission.Failed)
	}
}

// Failure returns the outcome of a run that has no answer of the upstream.
func Failure(run *executor.Run, v verdict.Verdict, reason verdict.Reason, health admission.Outcome) executor.Outcome {
	return outcome(run, v, reason, health)
}

func outcome(run *executor.Run, v verdict.Verdict, reason verdict.Reason, health admission.Outcome) executor.Outcome {
	return executor.Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, v, reason), Health: health}
}
