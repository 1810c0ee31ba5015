// Package caller is the HTTP front end for callers.
package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gofiber/fiber/v2"

	"endivespring/internal/call"
	"endivespring/internal/gateway"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// Header names of callers' requests and of the answers.
const (
	HeaderRequestID = "Endivespring-Request-Id"
	HeaderKey       = "Endivespring-Key"
	// HeaderAttempt is above 1 if the caller may have sent the request before.
	HeaderAttempt = "Endivespring-Attempt"
	// HeaderTimeout is the caller's own limit in milliseconds.
	HeaderTimeout  = "Endivespring-Timeout-Ms"
	HeaderVerdict  = "Endivespring-Verdict"
	HeaderReason   = "Endivespring-Reason"
	HeaderUpstream = "Endivespring-Upstream"
	HeaderEpoch    = "Endivespring-Epoch"
)

const (
	idleTimeout     = 60 * time.Second
	readTimeout     = 30 * time.Second
	writeTimeout    = 30 * time.Second
	maxIDLength     = 128 // bytes of a request id or key
	maxAttempt      = 1_000_000
	maxTimeout      = 3_600_000        // milliseconds that a caller may ask for
	answerPatience  = 11 * time.Minute // bound on waiting for the entry's answer
	readBufferBytes = 8 << 10
	lookInterval    = 100 * time.Millisecond // time between looks whether the caller is still there
)

// noContext is for rings that never wait.
var noContext = context.Background()

// Server takes callers' requests.
type Server struct {
	gate *Gate
	app  *fiber.App
}

// NewServer returns a server that hands requests to a ring and shows each
// answer to observe. Bodies are limited to maxBody bytes.
func NewServer(requests *ring.Ring[*Request], maxBody int, observe Observer) *Server {
	s := &Server{gate: NewGate(requests, observe)}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, BodyLimit: maxBody, ReadBufferSize: readBufferBytes,
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, ErrorHandler: s.handleError,
	})
	s.app.Add(fiber.MethodPost, "/v1/:service/:operation", s.serve)
	s.app.Add(fiber.MethodGet, "/v1/:service/:operation", s.serve)
	return s
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App { return s.app }

// Stop makes the server close each connection after its next answer.
func (s *Server) Stop() { s.gate.Stop() }

func (s *Server) serve(c *fiber.Ctx) error {
	request, problem := read(c)
	var answer call.Answer
	if problem == verdict.ReasonNone {
		answer = s.gate.Ask(c.Context().Conn(), request)
	} else {
		answer = refusal(request.ID, problem)
		s.gate.Observe(&answer, 0)
	}
	if s.gate.Stopping() { // looked at last: the stop may have come meanwhile
		c.Response().SetConnectionClose()
	}
	return write(c, &answer)
}

// read copies everything out of the library's buffers, which it reuses.
func read(c *fiber.Ctx) (gateway.Request, verdict.Reason) {
	request := gateway.Request{
		ID:      clone(c.Get(HeaderRequestID)),
		Service: clone(c.Params("service")), Operation: clone(c.Params("operation")),
		Key: clone(c.Get(HeaderKey)), Body: bytes.Clone(c.BodyRaw()),
	}
	if request.ID == "" {
		request.ID = rand.Text()
	}
	if !validText(request.ID) || !validText(request.Key) || !utf8.ValidString(request.Service) || !utf8.ValidString(request.Operation) {
		return request, verdict.ReasonBadRequest
	}
	attemptNumber, ok := number(c, HeaderAttempt, 1, maxAttempt)
	timeout, ok2 := number(c, HeaderTimeout, 0, maxTimeout)
	if !ok || !ok2 {
		return request, verdict.ReasonBadRequest
	}
	request.Resend = attemptNumber > 1
	request.Timeout = time.Duration(timeout) * time.Millisecond
	return request, verdict.ReasonNone
}

func number(c *fiber.Ctx, header string, missing, largest int) (int, bool) {
	text := c.Get(header)
	if text == "" {
		return missing, true
	}
	value, err := strconv.Atoi(text)
	return value, err == nil && value >= 1 && value <= largest
}

// validText reports whether a caller's text may go into messages between
// processes, which hold UTF-8 only.
func validText(text string) bool { return len(text) <= maxIDLength && utf8.ValidString(text) }

func clone(text string) string { return string([]byte(text)) }

func refusal(id string, reason verdict.Reason) call.Answer {
	return call.Answer{RequestID: id, Verdict: verdict.NotRun, Reason: reason}
}

func write(c *fiber.Ctx, answer *call.Answer) error {
	c.Set(HeaderRequestID, answer.RequestID)
	c.Set(HeaderVerdict, answer.Verdict.String())
	if answer.Upstream != "" {
		c.Set(HeaderUpstream, answer.Upstream)
	}
	if answer.Epoch > 0 {
		c.Set(HeaderEpoch, strconv.FormatUint(uint64(answer.Epoch), 10))
	}
	if answer.Verdict == verdict.Ran && answer.Status != 0 {
		c.Set(fiber.HeaderContentType, answer.ContentType)
		return c.Status(answer.Status).Send(answer.Body)
	}
	c.Set(HeaderReason, string(answer.Reason))
	return c.Status(statusOf(answer)).JSON(ErrorBody{
		RequestID: answer.RequestID, Verdict: answer.Verdict.String(), Reason: string(answer.Reason),
	})
}

// statusOf maps a refusal to an HTTP status: 4xx for the caller's mistakes,
// 503 for a proved refusal, 502 and 504 if the request may have run.
func statusOf(answer *call.Answer) int {
	switch answer.Reason {
	case verdict.ReasonUnknownService, verdict.ReasonUnknownOp:
		return fiber.StatusNotFound
	case verdict.ReasonBadRequest, verdict.ReasonMissingKey:
		return fiber.StatusBadRequest
	case verdict.ReasonBodyTooLarge:
		return fiber.StatusRequestEntityTooLarge
	}
	switch {
	case answer.Verdict == verdict.NotRun:
		return fiber.StatusServiceUnavailable
	case answer.Reason == verdict.ReasonDeadline:
		return fiber.StatusGatewayTimeout
	default:
		return fiber.StatusBadGateway
	}
}

// handleError answers requests that the library refused before they were read.
// Only its 4xx errors prove that nothing was handed on.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	known := fiber.ErrInternalServerError
	errors.As(err, &known)
	answer := call.Answer{RequestID: clone(c.Get(HeaderRequestID)), Reason: verdict.ReasonConnection}
	if !validText(answer.RequestID) {
		answer.RequestID = ""
	}
	if known.Code >= fiber.StatusBadRequest && known.Code < fiber.StatusInternalServerError {
		answer.Verdict, answer.Reason = verdict.NotRun, reasonOf(known.Code)
	}
	s.gate.Observe(&answer, 0)
	if err := write(c, &answer); err != nil {
		return err
	}
	c.Status(known.Code)
	return nil
}

func reasonOf(code int) verdict.Reason {
	switch code {
	case fiber.StatusRequestEntityTooLarge:
		return verdict.ReasonBodyTooLarge
	case fiber.StatusNotFound:
		return verdict.ReasonUnknownService
	default:
		return verdict.ReasonBadRequest
	}
}
