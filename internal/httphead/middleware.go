package httphead

import (
	"errors"

	"github.com/gofiber/fiber/v2"
)

// Middleware refuses requests with a malformed head with 400 and closes their connections.
func Middleware(c *fiber.Ctx) error {
	header := &c.Request().Header
	if err := errors.Join(CheckRequest(header), CheckTrailer(header)); err != nil {
		c.Response().SetConnectionClose()
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.Next()
}
