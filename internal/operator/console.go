package operator

import (
	"context"
	"crypto/subtle"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/papayapath/papayapath/internal/runtime"
	"github.com/papayapath/papayapath/internal/web"
	"github.com/papayapath/papayapath/pkg/node"
)

// Console is the HTTP server for operators.
type Console struct {
	token   string
	runtime *runtime.Runtime
	server  *web.Server
}

// Listen serves operators of r on address until Close. Commands that change
// state need token as a bearer token; with an empty token they are refused.
func Listen(address, token string, r *runtime.Runtime) (*Console, error) {
	c := &Console{token: token, runtime: r}
	app := fiber.New()
	app.Get("/status", c.status)
	app.Get("/metrics", c.metrics)
	app.Post("/drain", c.drain)
	server, err := web.Listen(address, app)
	if err != nil {
		return nil, err
	}
	c.server = server
	return c, nil
}

// Address returns the address on which the console listens.
func (c *Console) Address() string { return c.server.Address() }

// Close ends the server.
func (c *Console) Close(ctx context.Context) { _ = c.server.Close(ctx) }

// bearer is the scheme of the Authorization field.
const bearer = "Bearer "

func (c *Console) drain(f fiber.Ctx) error {
	given, ok := strings.CutPrefix(f.Get(fiber.HeaderAuthorization), bearer)
	if !ok || c.token == "" || subtle.ConstantTimeCompare([]byte(given), []byte(c.token)) != 1 {
		return f.SendStatus(fiber.StatusUnauthorized)
	}
	c.runtime.Drain()
	return f.SendStatus(fiber.StatusAccepted)
}

func (c *Console) status(f fiber.Ctx) error {
	var report Report
	c.runtime.View(func(n *node.Node) { report = newReport(n, time.Now()) })
	return f.JSON(report)
}
