package metrics

import (
	"bytes"
	"time"

	"github.com/gofiber/fiber/v2"
)

const (
	textType    = "text/plain; version=0.0.4; charset=utf-8"
	readTimeout = 5 * time.Second
	idleTimeout = 2 * time.Minute
	maxBody     = 1 << 20 // bytes of request bodies, and of answers that are being sent beside 64 KiB each
)

// NewServer returns an HTTP application that serves the registry at /metrics.
func NewServer(r *Registry) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, ReadTimeout: readTimeout, WriteTimeout: readTimeout, IdleTimeout: idleTimeout, BodyLimit: maxBody})
	app.Get("/metrics", func(c *fiber.Ctx) error {
		var text bytes.Buffer
		r.WriteText(&text)
		c.Set(fiber.HeaderContentType, textType)
		return c.Send(text.Bytes())
	})
	return app
}
