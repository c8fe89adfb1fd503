package sidecar

import (
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/socket"
)

const (
	// maxAuxiliaryBody and maxAuxiliaryConnections bound the memory of a listener
	// for heartbeats, readiness checks or metrics to 4 MiB.
	maxAuxiliaryBody        = 64 << 10
	maxAuxiliaryConnections = 64
	// maxAuxiliaryRequest bounds all that is read of such a request: its header
	// section, its body, and the lines and trailer of chunks.
	maxAuxiliaryRequest = 256 << 10
	// maxAuxiliaryRequests is the number of requests of a connection. A sender that
	// never pauses has to connect again.
	maxAuxiliaryRequests = 1000
	// auxiliaryReadTimeout bounds the time in which such a request arrives, and
	// auxiliaryWriteTimeout that in which its answer is read.
	auxiliaryReadTimeout  = 10 * time.Second
	auxiliaryWriteTimeout = 2 * time.Second
)

// serveAuxiliary returns a function that serves infrequent requests with small buffers.
func (n *Node) serveAuxiliary(h fasthttp.RequestHandler) func(net.Listener) error {
	server := &fasthttp.Server{
		Handler:               h,
		ReadBufferSize:        2048,
		WriteBufferSize:       1024,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxAuxiliaryBody,
		Concurrency:           maxAuxiliaryConnections,
		MaxRequestsPerConn:    maxAuxiliaryRequests,
		ReadTimeout:           auxiliaryReadTimeout,
		WriteTimeout:          auxiliaryWriteTimeout,
		IdleTimeout:           time.Minute,
		Logger:                failureLog{n.journal},
	}
	return func(ln net.Listener) error { return server.Serve(socket.Bounded(ln, maxAuxiliaryRequest)) }
}

// failureLog logs the failures of connections that a fasthttp.Server reports. Its own
// logger would write to standard error without a bound.
type failureLog struct{ journal *journal.Journal }

// maxFailureDetail bounds what is logged of a failure, in bytes. It may quote what a
// client has sent.
const maxFailureDetail = 256

// Printf implements fasthttp.Logger.
func (l failureLog) Printf(format string, args ...any) {
	l.journal.WriteSampled(time.Now(), event.RequestMalformed, func() logrus.Fields {
		detail := fmt.Sprintf(format, args...)
		return logrus.Fields{"detail": detail[:min(len(detail), maxFailureDetail)]}
	})
}
