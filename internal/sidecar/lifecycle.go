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
	// A stopping node takes no offers of other nodes in the last moments of the
	// grace period, so that those it has taken end in time: for queueTime, which
	// covers a queue under overload, and runTimes mean run times, but not
	// before offerTime.
	queueTime = 400 * time.Millisecond
	runTimes  = 8
	offerTime = 1500 * time.Millisecond
	// callTime is the time before the end at which calls of the own server's
	// runs are refused: the process would end before their answers.
	callTime = 400 * time.Millisecond
	// noticeTime is the time from the last offer that other nodes may send to
	// its arrival, several times the way between failure domains.
	noticeTime = 100 * time.Millisecond
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
		"callers": n.env.CallerAddr.String(), "peers": n.env.PeerAddr.String(), "service": n.env.Service,
	})
	go n.follow()
	go n.register()
	go n.exchange()
	go n.mesh.MonitorLinks(ctx)
	<-stop
	n.drain()
	n.journal.Write(event.NodeStopped, logrus.Fields{"requests": n.clients.ActiveRequests(), "connections": n.clients.OpenConnections()})
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
		{n.env.PeerAddr.String(), true, n.mesh.Accept},
		{n.env.HeartbeatAddr.String(), false, plainServer(n.control).Serve},
		{n.env.ReadinessAddr.String(), false, plainServer(n.ready).Serve},
		{metricsAddress(n.env.PeerAddr.Addr().String()), false, plainServer(n.metrics).Serve},
		{n.env.CallerAddr.String(), false, n.clients.Serve},
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

// drain ends the node without cutting requests. As long as requests of its own
// clients keep it, its server takes offers of other nodes: it is missed where
// few serve, and those requests may wait for just that server.
func (n *Node) drain() {
	start := time.Now()
	n.mu.Lock()
	n.stopping = true
	n.closing = start.Add(leaveTime)
	last := start.Add(n.env.GracePeriod - lastMoment)
	n.lastCall = last.Add(-callTime)
	n.mu.Unlock()
	n.journal.Write(event.NodeStopping, logrus.Fields{"grace_ms": n.env.GracePeriod.Milliseconds(), "requests": n.clients.ActiveRequests()})
	n.clients.DisableKeepAlives()
	for {
		time.Sleep(stopCheck)
		now := time.Now()
		n.mu.Lock()
		runs := len(n.runs)
		ending := last.Add(-queueTime - runTimes*n.runner.MeanServiceTime())
		n.mu.Unlock()
		busy := n.clients.ActiveRequests()
		age := now.Sub(start)
		if age > leaveTime && busy == 0 || age > offerTime && now.After(ending) {
			n.announceStop(now)
		}
		if n.told(now) && runs == 0 && busy == 0 || now.After(last) {
			n.clients.CloseIdle()
			return
		}
	}
}

// announceStop tells the other nodes once that this one takes no offers.
func (n *Node) announceStop(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.self.Stopping {
		n.self.Stopping, n.leaving = true, now
		n.announce(now)
	}
}

// told reports whether the other nodes know that this one takes no offers, and
// those that were on their way have arrived.
func (n *Node) told(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.Stopping && now.Sub(n.leaving) > noticeTime
}
