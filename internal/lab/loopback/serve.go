package loopback

import (
	"context"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// maxBodyBytes is the largest request body in bytes.
	maxBodyBytes = 8 << 20
	// maxConns bounds the connections of one stand-in, so that a retry storm
	// can't exhaust the file descriptors of the process.
	maxConns = 8192
	// idleWorkerTimeout is how long fasthttp keeps an idle goroutine. Its cleaner
	// wakes at this interval and only then notices that the server has stopped.
	idleWorkerTimeout = 100 * time.Millisecond
)

// Serve answers requests with handler until ctx ends. It then cuts all
// connections and waits for the handlers, which must end with ctx.
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

// CloseWithoutResponse closes the connection of a request without an answer.
func CloseWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(closeConn)
}

// discardLogger drops the messages of fasthttp about connections that were cut.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// closeConn does nothing, because fasthttp closes a connection when its
// hijack handler returns.
func closeConn(net.Conn) {}
