package gateway

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/papayapath/papayapath/internal/exchange"
	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/internal/web"
	"github.com/papayapath/papayapath/pkg/message"
)

// idleTimeout closes keep-alive connections that callers no longer use.
const idleTimeout = 60 * time.Second

// readLimit is the largest body that is read. It is above message.MaxBodyBytes,
// since the HTTP library closes the connection on a larger one while the caller
// still sends, and the caller may then not see the answer.
const readLimit = 2 * message.MaxBodyBytes

// Calls is the node behind the gateway.
type Calls interface {
	// Call starts a call. cancel is to be called when its caller goes away.
	Call(r *Request) (e *exchange.Exchange, cancel func())
}

// Gateway is an HTTP server for calls.
type Gateway struct {
	app      *fiber.App
	calls    Calls
	internal bool
	server   *web.Server
}

// Option sets an optional part of a gateway.
type Option func(*Gateway)

// ForBackend makes the gateway serve the node's own backend server. Requests
// may then name the call for which they are made.
func ForBackend() Option { return func(g *Gateway) { g.internal = true } }

// WithRoute adds a handler for a path of the gateway's own, which takes
// precedence over a service of the same name.
func WithRoute(method, path string, handler func(body []byte) (status int, answer any)) Option {
	return func(g *Gateway) {
		g.app.Add([]string{method}, path, func(c fiber.Ctx) error {
			status, answer := handler(append([]byte(nil), c.Body()...))
			return c.Status(status).JSON(answer)
		})
	}
}

// Listen serves HTTP on address until Close. It returns a *web.ListenError if
// the address can't be used.
func Listen(address string, calls Calls, options ...Option) (*Gateway, error) {
	g := &Gateway{calls: calls}
	g.app = fiber.New(fiber.Config{
		BodyLimit:      readLimit,
		ReadBufferSize: message.MaxHeaderBytes,
		IdleTimeout:    idleTimeout,
		ErrorHandler:   fault,
	})
	for _, o := range options {
		o(g)
	}
	// Not Use: the library also runs the handlers of Use for a request that it
	// could not read, for example one whose body is too large, and the call
	// would then run without its body.
	g.app.All("/*", g.handle)
	server, err := web.Listen(address, g.app)
	if err != nil {
		return nil, err
	}
	g.server = server
	return g, nil
}

// Address returns the address on which the gateway listens.
func (g *Gateway) Address() string { return g.server.Address() }

// Close stops accepting connections and waits until the requests in flight
// have been answered, or until ctx ends.
func (g *Gateway) Close(ctx context.Context) error { return g.server.Close(ctx) }

func (g *Gateway) handle(c fiber.Ctx) error {
	r, err := read(c, g.internal)
	if err != nil {
		return err
	}
	e, cancel := g.calls.Call(r)
	result, ok := await(c, e)
	if !ok {
		cancel()
		result = <-e.Result()
	}
	return write(c, result)
}

// pollInterval is how often the connection of a waiting caller is checked.
const pollInterval = 50 * time.Millisecond

// await returns the result of e, or false if the caller has closed its
// connection.
func await(c fiber.Ctx, e *exchange.Exchange) (exchange.Result, bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case result := <-e.Result():
			return result, true
		case <-ticker.C:
			if socket.IsClosedByPeer(c.RequestCtx().Conn()) {
				return exchange.Result{}, false
			}
		}
	}
}
