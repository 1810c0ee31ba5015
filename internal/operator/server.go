// Package operator is the HTTP front end for operators, and its client.
package operator

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"endivespring/internal/fleet"
	"endivespring/internal/fsm"
	"endivespring/internal/httphead"
	"endivespring/internal/preset"
	"endivespring/internal/ring"
	"endivespring/internal/settings"
)

const (
	replyTimeout  = 5 * time.Second // longest wait for the controller duty's reply, for a change until it is committed
	readTimeout   = 10 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 30 * time.Second
	maxBody       = 4 << 20 // bytes of a request body
	maxNameLength = 128     // bytes of a command ID or an operator's name
)

var errUnknownOutcome = fiber.NewError(fiber.StatusGatewayTimeout, "outcome unknown; send again with the same command id")

// Server is the HTTP server for operators. Every request needs the operators'
// token.
type Server struct {
	token    string
	requests *ring.Ring[Request]
	app      *fiber.App
}

// NewServer returns a server that puts requests on a ring for the controller
// duty.
func NewServer(token string, requests *ring.Ring[Request]) *Server {
	s := &Server{token: token, requests: requests}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, Immutable: true, BodyLimit: maxBody,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			code := fiber.StatusInternalServerError
			var known *fiber.Error
			if errors.As(err, &known) {
				code = known.Code
			}
			return c.Status(code).JSON(ErrorBody{Error: err.Error()})
		},
	})
	s.app.Use(httphead.Middleware, s.authenticate)
	s.app.Post("/v1/changes", s.change)
	s.app.Get("/v1/status", s.status)
	s.app.Get("/v1/explain", s.explain)
	s.app.Get("/v1/preset", s.preset)
	return s
}

// App returns the HTTP application.
func (s *Server) App() *fiber.App { return s.app }

func (s *Server) authenticate(c *fiber.Ctx) error {
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(s.token)) != 1 {
		return fiber.NewError(fiber.StatusUnauthorized, "operator token is missing or wrong")
	}
	return c.Next()
}

func (s *Server) change(c *fiber.Ctx) error {
	var body ChangeBody
	if err := checkItems(c.Body()); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "body: "+err.Error())
	}
	change, err := body.change()
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	reply, err := s.forward(Request{Change: change})
	if err != nil {
		return err
	}
	return c.JSON(resultBody(reply.Result))
}

func (s *Server) status(c *fiber.Ctx) error {
	reply, err := s.forward(Request{Status: true})
	if err != nil {
		return err
	}
	return c.JSON(reply.Status)
}

func (s *Server) preset(c *fiber.Ctx) error {
	reply, err := s.forward(Request{Preset: true})
	if err != nil {
		return err
	}
	return c.JSON(presetBody(reply.Preset))
}

func (s *Server) explain(c *fiber.Ctx) error {
	reply, err := s.forward(Request{Explain: &ExplainQuery{Service: c.Query("service"), Key: c.Query("key")}})
	if err != nil {
		return err
	}
	if reply.Explanation == nil {
		return fiber.NewError(fiber.StatusNotFound, "unknown service "+c.Query("service"))
	}
	return c.JSON(reply.Explanation)
}

// forward puts a request on the ring and waits for the reply. After a time-out
// the outcome is unknown, since the request may still be carried out.
func (s *Server) forward(request Request) (Reply, error) {
	request.ReceivedAt, request.Reply = time.Now(), ring.NewReply[Reply]()
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	if err := s.requests.Put(ctx, request); err != nil {
		return Reply{}, fiber.NewError(fiber.StatusServiceUnavailable, "control is overloaded; nothing was done")
	}
	select {
	case reply := <-request.Reply.Out():
		if reply.Redirect {
			return Reply{}, fiber.NewError(fiber.StatusMisdirectedRequest, "this control process is not the leader")
		}
		if reply.TooFewVoters {
			return Reply{}, fiber.NewError(fiber.StatusServiceUnavailable, "control has too few voters; nothing was done")
		}
		if reply.ConfirmCaller {
			return Reply{}, fiber.NewError(fiber.StatusServiceUnavailable, "the command has no base version; nothing was done")
		}
		if reply.OutcomeUnknown {
			return Reply{}, errUnknownOutcome
		}
		return reply, nil
	case <-ctx.Done():
		return Reply{}, errUnknownOutcome
	}
}

// change validates the body and converts it to a command for the state machine.
func (b *ChangeBody) change() (*fsm.OperatorChange, error) {
	change := &fsm.OperatorChange{CommandID: b.CommandID, Operator: b.Operator, Expected: fleet.Version(b.Expected), Digest: b.digest()}
	parts := 0
	if len(b.Preset) > 0 {
		p, err := preset.Parse("preset", b.Preset)
		if err != nil {
			return nil, err
		}
		change.Preset = p
		parts++
	}
	if b.DataCentre != "" {
		change.DataCentre = &fleet.DataCentreSetting{Name: fleet.DataCentre(b.DataCentre), Out: b.Out}
		parts++
	}
	if b.Upstream != "" {
		change.Upstream = &fleet.UpstreamSetting{Name: b.Upstream, Out: b.Out}
		parts++
	}
	if len(b.CommandID) > maxNameLength || len(b.Operator) > maxNameLength {
		return nil, settings.Problems{{File: "body", Field: "commandId", Message: "command id and operator's name must have at most 128 bytes"}}
	}
	if parts != 1 || b.CommandID == "" {
		return nil, settings.Problems{{File: "body", Field: "commandId", Message: "needs a command id and one of preset, dataCentre and upstream"}}
	}
	return change, nil
}

// digest hashes what the command asks for. Two commands under one ID are the
// same command only if their digests agree.
func (b *ChangeBody) digest() uint64 {
	content := *b
	content.CommandID, content.Operator, content.Expected = "", "", 0
	data, _ := json.Marshal(content)
	return xxhash.Sum64(data)
}

func resultBody(r fsm.Result) ResultBody {
	return ResultBody{Accepted: r.Accepted, Reason: r.Reason, Config: uint64(r.Config), View: uint64(r.Version)}
}
