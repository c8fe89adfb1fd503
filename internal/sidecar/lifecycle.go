package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/socket"
)

const (
	// leaveTime is how long a stopping node goes on as before: clients get
	// elsewhere after two failed readiness checks, a second apart.
	leaveTime = 2500 * time.Millisecond
	// offerTime is how long a stopping node goes on taking offers of other
	// nodes: its server is there all the while, and is missed where few serve.
	// It ends before leaveTime, so that as a rule no run is left then.
	offerTime = 1500 * time.Millisecond
	// lastMoment is the time before the end of the grace period at which a
	// stopping node exits although requests are open. It covers the end of the
	// process itself.
	lastMoment = 600 * time.Millisecond
	// stopCheck is how often a stopping node looks whether it may exit.
	stopCheck = 25 * time.Millisecond
)

// Run serves until stop is closed and the requests in progress have ended.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.mesh.Close()
	n.ctx = ctx
	listeners, err := n.listen(ctx)
	if err != nil {
		return err
	}
	defer func() {
		for _, ln := range listeners {
			ln.Close() //nolint:errcheck // the process ends
		}
	}()
	n.journal.Write(event.NodeStarted, logrus.Fields{
		"callers": n.env.Callers.String(), "peers": n.env.Links.String(), "service": n.env.Service,
	})
	go n.follow()
	go n.register()
	go n.exchange()
	go n.mesh.Check(ctx)
	<-stop
	n.drain()
	n.journal.Write(event.Stopped, logrus.Fields{"requests": n.clients.Busy(), "connections": n.clients.Open()})
	return nil
}

// listen opens all sockets and serves them.
func (n *Node) listen(ctx context.Context) ([]net.Listener, error) {
	var open []net.Listener
	for _, s := range []struct {
		address string
		watched bool
		serve   func(net.Listener) error
	}{
		{n.env.Links.String(), true, n.mesh.Accept},
		{n.env.Heartbeats.String(), false, plainServer(n.control).Serve},
		{n.env.Probes.String(), false, plainServer(n.ready).Serve},
		{metricsAddress(n.env.Links.Addr().String()), false, plainServer(n.metrics).Serve},
		{n.env.Callers.String(), false, n.clients.Serve},
	} {
		ln, err := socket.Listen(ctx, s.address, s.watched)
		if err != nil {
			for _, l := range open {
				l.Close() //nolint:errcheck // the process ends
			}
			return nil, err
		}
		open = append(open, ln)
		go func() {
			if err := s.serve(ln); err != nil && ctx.Err() == nil {
				n.journal.Write(event.LinkLost, logrus.Fields{"listener": s.address, "detail": err.Error()})
			}
		}()
	}
	return open, nil
}

// plainServer returns a small HTTP server for calls that are rare.
func plainServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		ReadBufferSize:        2048,
		WriteBufferSize:       1024,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		MaxRequestBodySize:    64 << 10,
		IdleTimeout:           time.Minute,
	}
}

// ready answers the platform's readiness check.
func (n *Node) ready(ctx *fasthttp.RequestCtx) {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping || n.table.Load() == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// drain ends the node without cutting requests.
func (n *Node) drain() {
	start := time.Now()
	n.mu.Lock()
	n.stopping = true
	n.closing = start.Add(leaveTime)
	n.mu.Unlock()
	n.journal.Write(event.Stopping, logrus.Fields{"grace_ms": n.env.Grace.Milliseconds(), "requests": n.clients.Busy()})
	n.clients.Stop()
	for {
		time.Sleep(stopCheck)
		now := time.Now()
		age := now.Sub(start)
		n.mu.Lock()
		if age > offerTime && !n.self.Stopping {
			n.self.Stopping = true
			n.announce(now)
		}
		runs := len(n.runs)
		n.mu.Unlock()
		idle := runs == 0 && n.clients.Busy() == 0
		if age > leaveTime && idle || age > n.env.Grace-lastMoment {
			n.clients.CloseIdle()
			return
		}
	}
}
