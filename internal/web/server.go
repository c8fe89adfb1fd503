package web

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"
)

// Server serves an application until it is closed.
type Server struct {
	app      *fiber.App
	listener net.Listener
	tasks    conc.WaitGroup
}

// Listen serves app on address. It returns a *ListenError if the address can't
// be used.
func Listen(address string, app *fiber.App) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{address: address, cause: err}
	}
	s := &Server{app: app, listener: listener}
	app.Server().CloseOnShutdown = true
	s.tasks.Go(func() {
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops accepting connections and waits until the requests in flight
// have been answered, or until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	// A shutdown before the library has taken over the listener does not
	// close it, and the serving goroutine would never end.
	_ = s.listener.Close()
	err := s.app.ShutdownWithContext(ctx)
	s.tasks.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil // the listener was closed above
	}
	return err
}

// ListenError reports an address on which the server can't listen.
type ListenError struct {
	address string
	cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.cause }
