package operator

import (
	"context"
	"crypto/subtle"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/papayapath/papayapath/internal/runtime"
	"github.com/papayapath/papayapath/pkg/node"
)

// Console is the HTTP server for operators.
type Console struct {
	app     *fiber.App
	token   string
	runtime *runtime.Runtime
	address net.Addr
	tasks   conc.WaitGroup
}

// Listen serves operators of r on address until Close. Commands that change
// state need token as a bearer token; with an empty token they are refused.
func Listen(address, token string, r *runtime.Runtime) (*Console, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address: address, cause: err}
	}
	c := &Console{app: fiber.New(), token: token, runtime: r, address: listener.Addr()}
	c.app.Get("/status", c.status)
	c.app.Get("/metrics", c.metrics)
	c.app.Post("/drain", c.drain)
	c.tasks.Go(func() {
		_ = c.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return c, nil
}

// Address returns the address on which the console listens.
func (c *Console) Address() string { return c.address.String() }

// Close ends the server.
func (c *Console) Close(ctx context.Context) {
	_ = c.app.ShutdownWithContext(ctx)
	c.tasks.Wait()
}

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
