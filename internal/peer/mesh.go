package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/memory"
)

const (
	// dialTimeout bounds the establishment of a connection to another node.
	dialTimeout = time.Second
	// minReconnectDelay and maxReconnectDelay bound the delay between two
	// attempts to connect to a node. The delay doubles with each failure.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// minLinkLifetime is the time after which a link counts as established. An
	// address that accepts connections and closes them at once is dialed with the
	// same delays as one that refuses them.
	minLinkLifetime = time.Second
	// checkInterval is the interval between two liveness checks of the links.
	checkInterval = 250 * time.Millisecond
	// maxSilentChecks is the number of consecutive checks without progress, while
	// a response is pending, after which a link is closed. With checkInterval it
	// makes one second, several times the longest round trip between regions.
	maxSilentChecks = 4
	// pingCheck is the one of these checks at which a ping is sent. Most responses come
	// before it. What is left of the time is several round trips too.
	pingCheck = 2
)

// Handler receives frames and connection events. Its methods are called by one
// goroutine for each link and must not block for long.
type Handler interface {
	// LinkUp reports that a link opened by this node is established.
	LinkUp(l *Link)
	// LinkDown reports that a link has ended. No frame of it follows.
	LinkDown(l *Link, cause error)
	// HandleFrame processes a frame, which it has to release.
	HandleFrame(l *Link, f frame.Frame)
	// PeerUnreachable reports a failed attempt to connect to a node and the
	// time of the first failure since the last connection.
	PeerUnreachable(address string, since time.Time)
	// ResponsePending reports whether a response is pending on a link.
	ResponsePending(l *Link) bool
}

// Mesh maintains one link to each configured node. It is safe for concurrent
// use.
type Mesh struct {
	handler Handler
	traffic Traffic
	budget  *memory.Budget

	mu       sync.Mutex
	targets  map[string]context.CancelFunc
	outbound map[string]*Link
	inbound  map[*Link]struct{}
	closed   bool
}

// check is the result of the last liveness check of a link.
type check struct {
	progress     uint64
	silentChecks int
}

// Option sets a property of a Mesh.
type Option func(*Mesh)

// WithBudget bounds the memory of the frames that are read or wait to be written.
func WithBudget(b *memory.Budget) Option { return func(m *Mesh) { m.budget = b } }

// NewMesh returns a mesh without links.
func NewMesh(h Handler, options ...Option) *Mesh {
	m := &Mesh{
		handler:  h,
		targets:  make(map[string]context.CancelFunc),
		outbound: make(map[string]*Link),
		inbound:  make(map[*Link]struct{}),
	}
	for _, o := range options {
		o(m)
	}
	return m
}

// Connect maintains a link to the node at address until Drop is called or ctx
// is done.
func (m *Mesh) Connect(ctx context.Context, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.targets[address]; ok || m.closed {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m.targets[address] = cancel
	go m.maintain(ctx, address)
}

// Drop closes the link to a node and stops reconnecting to it.
func (m *Mesh) Drop(address string) {
	m.mu.Lock()
	cancel, l := m.targets[address], m.outbound[address]
	delete(m.targets, address)
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if l != nil {
		l.Close()
	}
}

// Link returns the open link to a node, or nil.
func (m *Mesh) Link(address string) *Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.outbound[address]
}

// Links returns the open links that this node established.
func (m *Mesh) Links() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*Link, 0, len(m.outbound))
	for _, l := range m.outbound {
		all = append(all, l)
	}
	return all
}

// Traffic returns the counters of the bytes sent to other nodes.
func (m *Mesh) Traffic() *Traffic { return &m.traffic }

// maintain connects to address, and reconnects when the link ends, until ctx is
// done.
func (m *Mesh) maintain(ctx context.Context, address string) {
	delay, failingSince := minReconnectDelay, time.Time{}
	for ctx.Err() == nil {
		start := time.Now()
		conn, err := socket.Dial(ctx, address, dialTimeout)
		if err == nil {
			m.serveOutbound(newLink(conn, address, &m.traffic, m.budget))
			if time.Since(start) >= minLinkLifetime {
				delay, failingSince = minReconnectDelay, time.Time{}
				continue
			}
		}
		if failingSince.IsZero() {
			failingSince = start
		}
		m.handler.PeerUnreachable(address, failingSince)
		sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxReconnectDelay)
	}
}

// serveOutbound runs a link that this node opened until it ends.
func (m *Mesh) serveOutbound(l *Link) {
	m.mu.Lock()
	if _, ok := m.targets[l.address]; !ok {
		m.mu.Unlock()
		l.Close()
		return
	}
	m.outbound[l.address] = l
	m.mu.Unlock()
	m.handler.LinkUp(l)
	err := l.readFrames(m.handler)
	m.mu.Lock()
	delete(m.outbound, l.address)
	m.mu.Unlock()
	l.Close()
	m.handler.LinkDown(l, err)
}

// Accept serves the links that other nodes open, until the listener is closed.
func (m *Mesh) Accept(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		l := newLink(conn, "", &m.traffic, m.budget)
		m.mu.Lock()
		closed := m.closed
		m.inbound[l] = struct{}{}
		m.mu.Unlock()
		if closed {
			l.Close()
		}
		go m.serveInbound(l)
	}
}

// serveInbound runs a link that another node opened until it ends.
func (m *Mesh) serveInbound(l *Link) {
	err := l.readFrames(m.handler)
	m.mu.Lock()
	delete(m.inbound, l)
	m.mu.Unlock()
	l.Close()
	m.handler.LinkDown(l, err)
}

// Shutdown stops reconnecting and ends all links so that no frame is lost: it waits until
// they have been written, and until the other nodes have closed their ends. The frames
// may be written until end, and for linger at least; the wait for the other nodes takes
// linger at most.
func (m *Mesh) Shutdown(end time.Time, linger time.Duration) {
	links := m.stop()
	writeEnd := end
	if least := time.Now().Add(linger); end.Before(least) {
		writeEnd = least
	}
	for time.Now().Before(writeEnd) && slices.ContainsFunc(links, (*Link).isWriting) {
		time.Sleep(shutdownPollInterval)
	}
	for _, l := range links {
		l.closeWrite()
	}
	lingerEnd := time.Now().Add(linger)
	for time.Now().Before(lingerEnd) && m.hasLinks() {
		time.Sleep(shutdownPollInterval)
	}
}

// shutdownPollInterval is how often Shutdown looks whether the links have ended.
const shutdownPollInterval = 2 * time.Millisecond

// hasLinks reports whether there are open links.
func (m *Mesh) hasLinks() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.outbound)+len(m.inbound) > 0
}

// Close closes all links and stops reconnecting.
func (m *Mesh) Close() {
	for _, l := range m.stop() {
		l.Close()
	}
}

// stop stops reconnecting and returns the open links. Links that are accepted later are
// closed.
func (m *Mesh) stop() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	all := make([]*Link, 0, len(m.outbound)+len(m.inbound))
	for address, cancel := range m.targets {
		cancel()
		delete(m.targets, address)
	}
	for _, l := range m.outbound {
		all = append(all, l)
	}
	for l := range m.inbound {
		all = append(all, l)
	}
	return all
}

// MonitorLinks closes unresponsive links until ctx is done.
func (m *Mesh) MonitorLinks(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.check()
		}
	}
}

// check closes unresponsive links, and pings those on which a response is pending and
// nothing has arrived for a while. It counts checks instead of elapsed time, so that a
// pause of this process does not count as silence of the other nodes.
func (m *Mesh) check() {
	for _, l := range m.Links() {
		n := l.progress.Load()
		if n != l.lastCheck.progress || !m.handler.ResponsePending(l) {
			l.lastCheck = check{progress: n}
			continue
		}
		l.lastCheck.silentChecks++
		switch l.lastCheck.silentChecks {
		case maxSilentChecks:
			l.Close()
		case pingCheck:
			Send(l, frame.KindPing, frame.Ping{}, nil)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
