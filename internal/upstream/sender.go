package upstream

import (
	"bufio"
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
	"endivespring/internal/memory"
	"endivespring/internal/verdict"
)

const (
	deadlineGrace = 20 * time.Millisecond  // how long after a run's deadline its response is accepted
	abortGrace    = 100 * time.Millisecond // how long after a run's cancellation its response is accepted
)

// Sender sends runs to an upstream, one at a time and without retries, over a
// single persistent connection. It is owned by one duty and not safe for
// concurrent use.
type Sender struct {
	clock      clock.Clock
	events     event.Recorder
	maxBody    int
	budget     *memory.Budget
	dialect    Dialect
	connection *connection
	buffer     requestBuffer
	writer     *bufio.Writer
}

// NewSender returns a sender that connects on the first run and accepts response
// bodies of up to maxBody bytes, as far as the budget, shared by all senders, allows.
func NewSender(c clock.Clock, events event.Recorder, maxBody int, budget *memory.Budget, dialect Dialect) *Sender {
	s := &Sender{clock: c, events: events, maxBody: maxBody, budget: budget, dialect: dialect}
	s.writer = bufio.NewWriter(&s.buffer)
	return s
}

// Run sends one run to the upstream and blocks until its outcome is known. Once
// ctx is cancelled, it waits for a response for abortGrace at most.
func (s *Sender) Run(ctx context.Context, run *executor.Run) executor.Outcome {
	if reason := s.expiryReason(run); reason != verdict.ReasonNone {
		return outcome(run, verdict.NotRun, reason, admission.Neutral)
	}
	if err := s.connect(run.Upstream.Address, run.Call.RequestID); errors.Is(err, syscall.ECONNREFUSED) {
		return outcome(run, verdict.NotRun, verdict.ReasonUpstreamGone, admission.Failed)
	} else if err != nil {
		return outcome(run, verdict.NotRun, verdict.ReasonConnection, admission.Failed)
	}
	if err := s.encode(run); err != nil {
		return outcome(run, verdict.NotRun, verdict.ReasonBadRequest, admission.Neutral)
	}
	used := s.connection
	used.setDeadline(run.Deadline.Sub(s.clock.Now()) + deadlineGrace)
	stop := context.AfterFunc(ctx, func() { used.setDeadline(abortGrace) })
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

// Close closes the connection, if there is one. A later run opens a new one.
func (s *Sender) Close() {
	if s.connection != nil {
		s.connection.close()
		s.connection = nil
	}
}

// expiryReason returns why a run must no longer be sent: its lease has expired or
// its deadline has passed. It returns ReasonNone otherwise.
func (s *Sender) expiryReason(run *executor.Run) verdict.Reason {
	switch now := s.clock.Now(); {
	case now >= run.Fence && run.Fence < run.Call.Deadline:
		return verdict.ReasonLeaseExpired
	case now >= run.Fence, now >= run.Deadline:
		return verdict.ReasonDeadline
	default:
		return verdict.ReasonNone
	}
}

// connect reuses the connection to address if possible, or opens a new one.
func (s *Sender) connect(address, requestID string) error {
	now := s.clock.Now()
	if s.connection != nil && s.connection.reusable(address, requestID, now) {
		return nil
	}
	s.Close()
	var err error
	s.connection, err = connect(address, now, s.budget)
	return err
}

// encode serialises the request into the buffer, so that it can be sent right after
// the last check of lease and deadline.
func (s *Sender) encode(run *executor.Run) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	// The wall clock is read first: a pause between the two readings then makes
	// the grant's expiry earlier, never later.
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

// exchange writes the request and reads the response. After a write error the
// verdict is not-run only if no byte was written.
func (s *Sender) exchange(run *executor.Run) executor.Outcome {
	if reason := s.expiryReason(run); reason != verdict.ReasonNone {
		return outcome(run, verdict.NotRun, reason, admission.Neutral)
	}
	s.connection.requests++
	n, err := s.buffer.WriteTo(s.connection.net)
	s.buffer.Reset()
	if err != nil {
		s.retire("write")
		if n == 0 {
			return outcome(run, verdict.NotRun, verdict.ReasonConnection, admission.Failed)
		}
		return outcome(run, verdict.MayHaveRun, verdict.ReasonConnection, admission.Failed)
	}
	response := fasthttp.AcquireResponse()
	defer releaseResponse(response)
	if err := s.connection.read(response, s.maxBody, run, s.dialect); err != nil {
		s.retire("read")
		return failureOutcome(run, err)
	}
	s.connection.markIdle(s.clock.Now())
	out := s.dialect.Decode(run, response)
	if out.Answer.Verdict == verdict.NotRun {
		if !s.provesNotRun(run, response) {
			report := out.Report
			out = outcome(run, verdict.MayHaveRun, verdict.ReasonTruncated, out.Health)
			out.Report = report
		}
		s.connection.refused[run.Call.RequestID] = true
	}
	switch {
	case out.Answer.Reason == verdict.ReasonTruncated:
		s.events.Record(event.AnswerDropped, event.F("request", run.Call.RequestID), event.F("upstream", run.Upstream.Name))
		s.retire("answer")
	case response.ConnectionClose() || s.connection.atEOF:
		s.Close()
	}
	return out
}

// releaseResponse returns a response to the library's pool, without a large body: the pool
// would keep its memory although the budget of answers counts it as free.
func releaseResponse(response *fasthttp.Response) {
	if len(response.Body()) > answerReserve {
		response.SwapBody(nil)
	}
	fasthttp.ReleaseResponse(response)
}

// provesNotRun reports whether a refusal is the answer to this run, and no earlier refusal
// that the upstream writes once more: it names the run; or it names the request, which the
// upstream has not refused before; or it names nothing on a connection that carried no
// other request.
func (s *Sender) provesNotRun(run *executor.Run, response *fasthttp.Response) bool {
	switch {
	case s.dialect.NamesRun(run, response):
		return true
	case s.dialect.Names(run, response):
		return !run.RefusedBefore
	default:
		return s.connection.requests == 1
	}
}

// retire closes a connection whose state is unknown, so that a late response is
// never taken for that of a later request.
func (s *Sender) retire(cause string) {
	s.events.Record(event.ConnectionRetired, event.F("address", s.connection.address), event.F("cause", cause))
	s.Close()
}

// failureOutcome maps an error in reading the response to an outcome: the request may
// have run.
func failureOutcome(run *executor.Run, err error) executor.Outcome {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return outcome(run, verdict.MayHaveRun, verdict.ReasonDeadline, admission.TimedOut)
	case eris.Is(err, fasthttp.ErrBodyTooLarge), eris.Is(err, errNoMemory):
		return outcome(run, verdict.MayHaveRun, verdict.ReasonBodyTooLarge, admission.Good)
	default:
		return outcome(run, verdict.MayHaveRun, verdict.ReasonConnection, admission.Failed)
	}
}

// NewOutcome returns an outcome whose answer has no body yet, for dialects that map a
// response to a verdict and a reason.
func NewOutcome(run *executor.Run, v verdict.Verdict, reason verdict.Reason, health admission.Outcome) executor.Outcome {
	return outcome(run, v, reason, health)
}

func outcome(run *executor.Run, v verdict.Verdict, reason verdict.Reason, health admission.Outcome) executor.Outcome {
	return executor.Outcome{Run: run.ID, Answer: call.Refusal(&run.Call, v, reason), Health: health}
}
