package upstream

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"endivespring/internal/httphead"
	"endivespring/internal/ring"
)

const (
	maxSlots        = 1024     // concurrent requests that one upstream may announce
	maxAnnouncement = 64 << 10 // body size in bytes

	serverTimeout     = 10 * time.Second // bound on reading a request and on writing its response
	serverIdleTimeout = time.Minute      // idle time after which a connection is closed
)

// Server receives the announcements and the departure of the upstream beside the
// router.
type Server struct {
	notifications *ring.Ring[Notification]
	app           *fiber.App
}

// NewServer returns a server that puts notifications on a ring. While the ring is full
// it answers 503.
func NewServer(notifications *ring.Ring[Notification]) *Server {
	s := &Server{notifications: notifications, app: fiber.New(fiber.Config{
		DisableStartupMessage: true, Immutable: true, BodyLimit: maxAnnouncement,
		ReadTimeout: serverTimeout, WriteTimeout: serverTimeout, IdleTimeout: serverIdleTimeout,
	})}
	s.app.Use(httphead.Middleware)
	s.app.Post("/v1/announce", s.announce)
	s.app.Post("/v1/leave", s.leave)
	return s
}

// App returns the HTTP application. Its user serves it and shuts it down.
func (s *Server) App() *fiber.App { return s.app }

func (s *Server) announce(c *fiber.Ctx) error {
	var a Announcement
	if err := json.Unmarshal(c.Body(), &a); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString("announcement: " + err.Error())
	}
	if problems := a.problems(); len(problems) > 0 {
		return c.Status(fiber.StatusBadRequest).SendString("announcement: " + strings.Join(problems, "; "))
	}
	return s.enqueue(c, Notification{Upstream: a.upstream()})
}

func (s *Server) leave(c *fiber.Ctx) error {
	if err := Leave(c.Context(), s.notifications, ""); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error())
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (s *Server) enqueue(c *fiber.Ctx, notification Notification) error {
	if err := s.notifications.Put(c.Context(), notification); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString("router is overloaded: announcement queue is full")
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (a *Announcement) problems() []string {
	var problems []string
	if a.Name == "" || a.Service == "" {
		problems = append(problems, "name and service must not be empty")
	}
	if host, _, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil {
		problems = append(problems, fmt.Sprintf("address %q must be an IP address and a port", a.Address))
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		problems = append(problems, fmt.Sprintf("slots %d must be from 1 to %d", a.Slots, maxSlots))
	}
	if a.ColdSlots < 0 || a.ColdSlots > a.Slots {
		problems = append(problems, fmt.Sprintf("coldSlots %d must be from 0 to slots", a.ColdSlots))
	}
	if a.Connections < a.Slots {
		problems = append(problems, fmt.Sprintf("connections %d must be at least slots", a.Connections))
	}
	return problems
}
