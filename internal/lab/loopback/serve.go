package loopback

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 8 << 20
	// maxConns is the maximum number of connections per server, so that a retry
	// storm can't exhaust the file descriptors of the process.
	maxConns = 8192
	// idleWorkerTimeout is how long fasthttp keeps an idle worker goroutine. Its
	// cleaner wakes at this interval and only then detects that the server has
	// stopped.
	idleWorkerTimeout = 100 * time.Millisecond
)

// Serve handles requests until ctx ends. It then closes all connections and
// waits for the handlers, which must return when ctx ends.
func Serve(ctx context.Context, listener *Listener, handler fasthttp.RequestHandler) error {
	s := &fasthttp.Server{
		Handler:               handler,
		Concurrency:           maxConns,
		MaxIdleWorkerDuration: idleWorkerTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		NoDefaultContentType:  true,
		Logger:                discardLogger{},
	}
	serving, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	group.Go(func() {
		<-serving.Done()
		listener.CloseAll()
		_ = s.Shutdown()
	})
	err := s.Serve(listener)
	stop()
	group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// CloseWithoutResponse closes the connection of a request without sending a
// response.
func CloseWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

// discardLogger discards the messages of fasthttp about closed connections.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}

// closeConn is a no-op, because fasthttp closes the connection when the hijack
// handler returns.
func closeConn(net.Conn) {}
