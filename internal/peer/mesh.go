package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/papayapath/papayapath/internal/socket"
	"github.com/papayapath/papayapath/pkg/frame"
)

const (
	// dialTimeout bounds the opening of a connection to another node.
	dialTimeout = time.Second
	// firstPause and lastPause bound the time between two attempts to reach a
	// node. The pause doubles with each failure.
	firstPause = 100 * time.Millisecond
	lastPause  = 2 * time.Second
	// checkInterval is how often links are checked for silence.
	checkInterval = 250 * time.Millisecond
	// silentChecks is the number of checks in a row without a frame, though
	// one is due, from which a link counts as broken: one second, several
	// times the longest round trip between regions.
	silentChecks = 4
)

// Handler takes what arrives from other nodes. Its methods are called by one
// goroutine for each link and must not block for long.
type Handler interface {
	// LinkUp says that a link to another node is open.
	LinkUp(l *Link)
	// LinkDown says that a link has ended. Nothing more arrives on it.
	LinkDown(l *Link, cause error)
	// HandleFrame takes a message. head and body belong to the handler.
	HandleFrame(l *Link, kind frame.Kind, head, body []byte)
	// PeerUnreachable says that a node could not be reached for a time.
	PeerUnreachable(address string, since time.Time)
	// ResponsePending reports whether an answer is due on a link.
	ResponsePending(l *Link) bool
}

// Mesh keeps one link open to each wanted node. It is safe for concurrent use.
type Mesh struct {
	handler Handler

	mu      sync.Mutex
	wanted  map[string]context.CancelFunc
	links   map[string]*Link
	passive map[*Link]struct{} // opened by other nodes
	closed  bool
	checked map[*Link]check
}

// check is what was seen of a link at the last check.
type check struct {
	received uint64
	silent   int
}

// NewMesh returns a mesh without links.
func NewMesh(h Handler) *Mesh {
	return &Mesh{
		handler: h,
		wanted:  make(map[string]context.CancelFunc),
		links:   make(map[string]*Link),
		passive: make(map[*Link]struct{}),
		checked: make(map[*Link]check),
	}
}

// Connect keeps a link to the node at address open until Drop or the end of ctx.
func (m *Mesh) Connect(ctx context.Context, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.wanted[address]; ok || m.closed {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	m.wanted[address] = cancel
	go m.keep(ctx, address)
}

// Drop closes the link to a node and opens none again.
func (m *Mesh) Drop(address string) {
	m.mu.Lock()
	cancel, l := m.wanted[address], m.links[address]
	delete(m.wanted, address)
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
	return m.links[address]
}

// Links returns all open links to other nodes.
func (m *Mesh) Links() []*Link {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*Link, 0, len(m.links))
	for _, l := range m.links {
		all = append(all, l)
	}
	return all
}

// keep opens the link to address again whenever it has ended.
func (m *Mesh) keep(ctx context.Context, address string) {
	pause, failing := firstPause, time.Time{}
	for ctx.Err() == nil {
		conn, err := socket.Dial(ctx, address, dialTimeout)
		if err == nil {
			pause, failing = firstPause, time.Time{}
			m.serve(newLink(conn, address))
			continue
		}
		if failing.IsZero() {
			failing = time.Now()
		}
		m.handler.PeerUnreachable(address, failing)
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastPause)
	}
}

// serve runs a link that this node opened until it ends.
func (m *Mesh) serve(l *Link) {
	m.mu.Lock()
	if _, ok := m.wanted[l.address]; !ok {
		m.mu.Unlock()
		l.Close()
		return
	}
	m.links[l.address] = l
	m.mu.Unlock()
	m.handler.LinkUp(l)
	err := l.read(m.handler)
	m.mu.Lock()
	delete(m.links, l.address)
	delete(m.checked, l)
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
		l := newLink(conn, "")
		m.mu.Lock()
		closed := m.closed
		m.passive[l] = struct{}{}
		m.mu.Unlock()
		if closed {
			l.Close()
		}
		go m.serveAccepted(l)
	}
}

// serveAccepted runs a link that another node opened until it ends.
func (m *Mesh) serveAccepted(l *Link) {
	err := l.read(m.handler)
	m.mu.Lock()
	delete(m.passive, l)
	m.mu.Unlock()
	l.Close()
	m.handler.LinkDown(l, err)
}

// Close ends all links.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	all := make([]*Link, 0, len(m.links)+len(m.passive))
	for address, cancel := range m.wanted {
		cancel()
		delete(m.wanted, address)
	}
	for _, l := range m.links {
		all = append(all, l)
	}
	for l := range m.passive {
		all = append(all, l)
	}
	m.mu.Unlock()
	for _, l := range all {
		l.Close()
	}
}

// MonitorLinks looks for links that have fallen silent, until the end of ctx.
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

// check counts checks and not time, so that a pause of the own process does not
// count as silence of the others.
func (m *Mesh) check() {
	for _, l := range m.Links() {
		if !m.handler.ResponsePending(l) {
			m.note(l, check{received: l.received.Load()})
			continue
		}
		m.mu.Lock()
		c := m.checked[l]
		m.mu.Unlock()
		if n := l.received.Load(); n != c.received {
			m.note(l, check{received: n})
			continue
		}
		c.silent++
		m.note(l, c)
		if c.silent >= silentChecks {
			l.Close()
			continue
		}
		Send(l, frame.KindPing, frame.Ping{}, nil)
	}
}

func (m *Mesh) note(l *Link, c check) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.address] == l {
		m.checked[l] = c
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
