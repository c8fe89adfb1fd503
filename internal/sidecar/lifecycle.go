package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/socket"
)

// Run serves requests until stop is closed, then drains the node and returns. A
// node that cannot drain within its grace period returns with requests open.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.mesh.Close()
	n.ctx = ctx
	listeners, err := n.listen(ctx, stop)
	if errors.Is(err, errStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	defer func() {
		for _, ln := range listeners {
			ln.Close() //nolint:errcheck // the process is exiting
		}
	}()
	n.journal.Write(event.NodeStarted, logrus.Fields{
		"callers": n.env.CallerAddr.String(), "peers": n.env.PeerAddr.String(), "service": n.env.Service,
	})
	go n.watchConfiguration()
	go n.maintainEntry()
	go n.runAntiEntropy()
	go n.mesh.MonitorLinks(ctx)
	<-stop
	n.drain()
	n.journal.Write(event.NodeStopped, logrus.Fields{"requests": n.clients.ActiveRequests(), "connections": n.clients.OpenConnections()})
	return nil
}

// errStopped means that the process was told to stop before it could listen.
var errStopped = errors.New("sidecar: stopped before the start")

// addressPollInterval is how often a node that starts tries to listen at an address that
// is in use.
const addressPollInterval = 50 * time.Millisecond

// awaitAddress listens at an address. The previous process of the instance may still use
// it, for as long as its grace period lasts. The error is errStopped if stop is closed
// meanwhile.
func (n *Node) awaitAddress(ctx context.Context, stop <-chan struct{}, address string, detectDeadPeers bool) (net.Listener, error) {
	limit := n.started.Add(n.grace() + restartSlack)
	for isLogged := false; ; isLogged = true {
		ln, err := socket.Listen(ctx, address, detectDeadPeers)
		now := time.Now()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || now.After(limit) {
			return ln, err
		}
		if !isLogged {
			n.journal.Write(event.AddressInUse, logrus.Fields{"listener": address, "wait_ms": limit.Sub(now).Milliseconds()})
		}
		select {
		case <-stop:
			return nil, errStopped
		case <-time.After(addressPollInterval):
		}
	}
}

// listen opens all listeners and starts serving them.
func (n *Node) listen(ctx context.Context, stop <-chan struct{}) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, s := range []struct {
		address         string
		detectDeadPeers bool
		serve           func(net.Listener) error
	}{
		{n.env.PeerAddr.String(), true, n.mesh.Accept},
		{n.env.HeartbeatAddr.String(), false, n.serveAuxiliary(n.serveControl)},
		{n.env.ReadinessAddr.String(), false, n.serveAuxiliary(n.serveReadiness)},
		{metricsAddress(n.env.PeerAddr.Addr().String()), false, n.serveAuxiliary(n.metrics)},
		{n.env.CallerAddr.String(), false, n.clients.Serve},
	} {
		ln, err := n.awaitAddress(ctx, stop, s.address, s.detectDeadPeers)
		if err != nil {
			for _, l := range listeners {
				l.Close() //nolint:errcheck // the process is exiting
			}
			return nil, err
		}
		ln = socket.Resilient(ln, func(err error) {
			n.journal.WriteSampled(time.Now(), event.AcceptFailed, func() logrus.Fields {
				return logrus.Fields{"listener": s.address, "detail": err.Error()}
			})
		})
		listeners = append(listeners, ln)
		go func() {
			if err := s.serve(ln); err != nil && ctx.Err() == nil {
				n.journal.Write(event.LinkLost, logrus.Fields{"listener": s.address, "detail": err.Error()})
			}
		}()
	}
	return listeners, nil
}

// serveReadiness handles the platform's readiness check.
func (n *Node) serveReadiness(ctx *fasthttp.RequestCtx) {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping || n.table.Load() == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
