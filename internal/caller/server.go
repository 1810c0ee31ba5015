// Package caller is the native HTTP front end for callers: it parses requests,
// submits them to the gateway duty and writes the answers.
package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"endivespring/internal/call"
	"endivespring/internal/clock"
	"endivespring/internal/gateway"
	"endivespring/internal/httphead"
	"endivespring/internal/ring"
	"endivespring/internal/verdict"
)

// Header names of callers' requests and of their responses.
const (
	HeaderRequestID = "Endivespring-Request-Id"
	HeaderKey       = "Endivespring-Key"
	// HeaderAttempt is the number of the caller's attempt. A request with a number
	// above 1 is a resend: an earlier attempt may have run.
	HeaderAttempt = "Endivespring-Attempt"
	// HeaderTimeout is the caller's timeout in milliseconds.
	HeaderTimeout  = "Endivespring-Timeout-Ms"
	HeaderVerdict  = "Endivespring-Verdict"
	HeaderReason   = "Endivespring-Reason"
	HeaderUpstream = "Endivespring-Upstream"
	HeaderEpoch    = "Endivespring-Epoch"
)

const (
	idleTimeout             = 60 * time.Second
	readTimeout             = 30 * time.Second
	writeTimeout            = 30 * time.Second
	maxIDLength             = 128 // length of a request ID or key in bytes
	maxAttempt              = 1_000_000
	maxTimeout              = 3_600_000        // largest accepted HeaderTimeout in milliseconds
	answerTimeout           = 11 * time.Minute // limit on waiting for the gateway's answer
	readBufferBytes         = ReaderBytes
	disconnectCheckInterval = 100 * time.Millisecond // interval of checks whether the caller has disconnected
)

// noContext is the context of puts on rings that never block.
var noContext = context.Background()

// Server is the HTTP server for callers' requests.
type Server struct {
	gateway *GatewayClient
	app     *fiber.App
	// maxBody is the limit on bodies, in bytes.
	maxBody int
}

// NewServer returns a server that submits requests over a ring and passes each
// answer to observe. Request bodies are limited to maxBody bytes.
func NewServer(c clock.Clock, requests *ring.Ring[*Request], maxBody int, observe Observer) *Server {
	s := &Server{gateway: NewGatewayClient(c, requests, observe), maxBody: maxBody}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, BodyLimit: maxBody, ReadBufferSize: ReaderBytes,
		StreamRequestBody: true, DisablePreParseMultipartForm: true, // bodies are read by serve
		IdleTimeout: idleTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, ErrorHandler: s.handleError,
		ReduceMemoryUsage: true, // also makes fasthttp flush each response before it reads the next request
	})
	s.app.Server().HeaderReceived = s.beginBody
	s.app.Use(httphead.Middleware)
	s.app.Add(fiber.MethodPost, "/v1/:service/:operation", s.serve)
	s.app.Add(fiber.MethodGet, "/v1/:service/:operation", s.serve)
	return s
}

// App returns the HTTP application. Its user serves it and shuts it down.
func (s *Server) App() *fiber.App { return s.app }

// Stop makes the server close each connection after its next response.
func (s *Server) Stop() { s.gateway.Stop() }

// beginBody makes the connection bound each pause within the body instead of the whole of it.
func (s *Server) beginBody(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: s.maxBody, ReadTimeout: BodyReadTimeout(header)}
}

func (s *Server) serve(c *fiber.Ctx) error {
	connection := c.Context().Conn()
	body, err := ReadBody(c.Context(), s.maxBody)
	if err != nil {
		c.Response().SetConnectionClose()
		return readError(err)
	}
	request, problem := parseRequest(c, body)
	if problem == verdict.ReasonNone && !StartRequest(connection, &c.Request().Header, cap(request.Body)) {
		problem = verdict.ReasonOverloaded
		c.Response().SetConnectionClose()
	}
	ReleaseHeader(c.Context())
	var answer call.Answer
	if problem == verdict.ReasonNone {
		answer = s.gateway.Do(connection, request)
	} else {
		answer = refusal(request.ID, problem)
		s.gateway.Observe(&answer, 0)
	}
	if s.gateway.Stopping() { // checked last: Stop may have been called while the request was in flight
		c.Response().SetConnectionClose()
	}
	if !StartAnswer(connection, len(answer.Body)) && answer.Verdict != verdict.NotRun {
		answer = WithoutBody(&answer)
	}
	return writeAnswer(c, &answer)
}

// WithoutBody returns what the caller is told instead of an answer that ran and for which there
// is no memory.
func WithoutBody(answer *call.Answer) call.Answer {
	return call.Answer{RequestID: answer.RequestID, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonOverloaded}
}

// readError returns the error of the library for one of ReadBody.
func readError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, ErrNoMemory):
		return fiber.ErrServiceUnavailable
	case errors.Is(err, ErrBodyTooLarge):
		return fiber.ErrRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fiber.ErrRequestTimeout
	default:
		return fiber.ErrBadRequest
	}
}

// parseRequest parses a request. It copies all strings, since fiber reuses its buffers.
func parseRequest(c *fiber.Ctx, body []byte) (gateway.Request, verdict.Reason) {
	request := gateway.Request{
		ID:      clone(c.Get(HeaderRequestID)),
		Service: clone(c.Params("service")), Operation: clone(c.Params("operation")),
		Key: clone(c.Get(HeaderKey)), Body: body,
	}
	if request.ID == "" {
		request.ID = rand.Text()
	}
	if !validText(request.ID) || !validText(request.Key) || !utf8.ValidString(request.Service) || !utf8.ValidString(request.Operation) {
		return request, verdict.ReasonBadRequest
	}
	attemptNumber, ok := headerNumber(c, HeaderAttempt, 1, maxAttempt)
	timeout, ok2 := headerNumber(c, HeaderTimeout, 0, maxTimeout)
	if !ok || !ok2 {
		return request, verdict.ReasonBadRequest
	}
	request.Resend = attemptNumber > 1
	request.Timeout = time.Duration(timeout) * time.Millisecond
	return request, verdict.ReasonNone
}

func headerNumber(c *fiber.Ctx, header string, fallback, limit int) (int, bool) {
	text := c.Get(header)
	if text == "" {
		return fallback, true
	}
	value, err := strconv.Atoi(text)
	return value, err == nil && value >= 1 && value <= limit
}

// validText reports whether a caller's text is short enough and valid UTF-8, as
// the protobuf messages between processes require.
func validText(text string) bool { return len(text) <= maxIDLength && utf8.ValidString(text) }

func clone(text string) string { return string([]byte(text)) }

func refusal(id string, reason verdict.Reason) call.Answer {
	return call.Answer{RequestID: id, Verdict: verdict.NotRun, Reason: reason}
}

func writeAnswer(c *fiber.Ctx, answer *call.Answer) error {
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

// statusOf maps an answer without an upstream response to an HTTP status: 4xx for
// the caller's errors, 503 if the request did not run, 504 (deadline) or 502 if
// it may have run.
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

// handleError answers requests that fiber rejected. Only its 4xx errors prove that
// the request was not submitted to the gateway.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	known := fiber.ErrInternalServerError
	errors.As(err, &known)
	answer := call.Answer{RequestID: clone(c.Get(HeaderRequestID)), Reason: verdict.ReasonConnection}
	if !validText(answer.RequestID) {
		answer.RequestID = ""
	}
	DropHeader(c.Context())
	connection := c.Context().Conn()
	switch {
	case known.Code == fiber.StatusRequestEntityTooLarge:
		RefuseUnread(connection)
	case known.Code == fiber.StatusServiceUnavailable, RefusedUnread(connection): // the library makes a bad request of it
		known = fiber.ErrServiceUnavailable
		answer.Verdict, answer.Reason = verdict.NotRun, verdict.ReasonOverloaded
		RefuseUnread(connection)
	}
	if known.Code >= fiber.StatusBadRequest && known.Code < fiber.StatusInternalServerError {
		answer.Verdict, answer.Reason = verdict.NotRun, reasonForStatus(known.Code)
	}
	s.gateway.Observe(&answer, 0)
	if !StartAnswer(connection, 0) { // the connection stays open after an unknown path
		c.Response().SetConnectionClose()
	}
	if err := writeAnswer(c, &answer); err != nil {
		return err
	}
	c.Status(known.Code)
	return nil
}

func reasonForStatus(code int) verdict.Reason {
	switch code {
	case fiber.StatusRequestEntityTooLarge:
		return verdict.ReasonBodyTooLarge
	case fiber.StatusNotFound:
		return verdict.ReasonUnknownService
	default:
		return verdict.ReasonBadRequest
	}
}
