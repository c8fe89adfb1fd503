package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the opening of a connection to the server, which is
	// on the same instance and takes about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// idleLimit is the idle time after which a connection is no longer used
	// unless the server states a time-out of its own. Servers close idle
	// connections after some seconds, and a request that crosses the close
	// may be lost.
	idleLimit = 4 * time.Second
	// statedPart is the part of a stated idle time-out that is used.
	statedPart = 0.5
	// answerSlack is added to the time that the server was given, so that its
	// own answer at the deadline still arrives.
	answerSlack = 20 * time.Millisecond
	// sweepInterval is how often overdue exchanges are looked for. One timer for
	// all of them spares a timer and its wake-up for each.
	sweepInterval = 100 * time.Millisecond
	// directWrite is the size up to which a request is written by the
	// goroutine that starts it. Larger ones could block it.
	directWrite = 16 << 10
)

// HeaderCodec reads the header fields of answers.
type HeaderCodec interface {
	Matches(h *fasthttp.ResponseHeader, id string) bool
	NotRun(h *fasthttp.ResponseHeader) bool
	IsSigned(h *fasthttp.ResponseHeader) bool
	AppendResponseHeader(dst []byte, h *fasthttp.ResponseHeader) []byte
}

// Request is one request to the server.
type Request struct {
	ID       string
	Raw      []byte        // head and body as they are sent
	Timeout  time.Duration // how long the answer is waited for
	HeadOnly bool          // the answer has no body
}

// Answer is what became of a request.
type Answer struct {
	Status int
	Head   []byte // header fields to pass on
	Body   []byte
	NotRun bool  // the server said, or it is certain, that it did not run the request
	Sent   bool  // some of the request may have reached the server
	Err    error // the answer is missing or broken
}

// Dial errors tell that nothing was sent.
var errDial = errors.New("no connection to the server")

// ResponseError reports bytes of the server that are not the answer to the
// request.
type ResponseError struct{ fault string }

// Error states the fault.
func (e *ResponseError) Error() string { return fmt.Sprintf("upstream: answer %s", e.fault) }

// Pool holds the connections to one server. It is safe for concurrent use.
type Pool struct {
	address string
	dialect HeaderCodec
	maxBody int

	mu   sync.Mutex
	idle []*conn // the most recently used one is last
	all  map[*conn]struct{}
	// sweeping says that a sweep is scheduled.
	sweeping bool
	dialed   int
	reused   int
}

// New returns a pool without connections to the server at address.
func New(address string, d HeaderCodec, maxBody int) *Pool {
	return &Pool{address: address, dialect: d, maxBody: maxBody, all: make(map[*conn]struct{})}
}

// Exchange is a request that has been started.
type Exchange struct {
	request *Request
	done    func(*Answer)

	mu       sync.Mutex
	conn     *conn
	canceled bool
}

// Cancel closes the connection, so that the server stops its work.
func (e *Exchange) Cancel() {
	e.mu.Lock()
	e.canceled = true
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// attach binds the exchange to a connection. It returns false if the exchange
// has been canceled.
func (e *Exchange) attach(c *conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.canceled {
		e.conn = c
	}
	return !e.canceled
}

// detach releases the connection, so that a late Cancel does not close it.
func (e *Exchange) detach() {
	e.mu.Lock()
	e.conn = nil
	e.mu.Unlock()
}

// Start sends a request. done is called once, by another goroutine.
func (p *Pool) Start(now time.Time, r *Request, done func(*Answer)) *Exchange {
	e := &Exchange{request: r, done: done}
	c := p.take(now)
	if c != nil && len(r.Raw) <= directWrite {
		c.send(now, e)
		return e
	}
	go p.startOn(c, e)
	return e
}

// startOn sends a request on c, or on a new connection if c is nil.
func (p *Pool) startOn(c *conn, e *Exchange) {
	if c == nil {
		opened, err := net.DialTimeout("tcp4", p.address, dialTimeout)
		if err != nil {
			e.done(&Answer{NotRun: true, Err: fmt.Errorf("%w: %w", errDial, err)})
			return
		}
		c = p.add(opened)
	}
	c.send(time.Now(), e)
}

// IsUnreachable reports whether an answer failed because no connection to the
// server could be opened.
func IsUnreachable(a *Answer) bool { return errors.Is(a.Err, errDial) }

func (p *Pool) add(opened net.Conn) *conn {
	c := newConn(p, opened)
	p.mu.Lock()
	p.all[c] = struct{}{}
	p.dialed++
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(sweepInterval, p.sweep)
	}
	p.mu.Unlock()
	go c.read()
	return c
}

// take returns the idle connection that was used last, or nil.
func (p *Pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.used) > c.limit {
			c.abandon()
			continue
		}
		p.reused++
		return c
	}
	return nil
}

// sweep closes the connections whose exchange is overdue, as long as there are
// connections.
func (p *Pool) sweep() {
	now := time.Now()
	p.mu.Lock()
	busy := make([]*conn, 0, len(p.all))
	for c := range p.all {
		busy = append(busy, c)
	}
	p.sweeping = len(busy) > 0
	p.mu.Unlock()
	for _, c := range busy {
		c.expire(now)
	}
	if len(busy) > 0 {
		time.AfterFunc(sweepInterval, p.sweep)
	}
}

// put makes a connection idle.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// remove forgets a connection that has ended.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, c)
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// CloseExpired closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.used) > c.limit {
			c.abandon()
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// Stats returns the numbers of open connections, of connections ever opened,
// and of requests that found an idle one.
func (p *Pool) Stats() (open, dialed, reused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.all), p.dialed, p.reused
}

// CheckHealth asks the server's health check over a connection of its own.
func CheckHealth(ctx context.Context, address, path string, timeout time.Duration, read func(h *fasthttp.ResponseHeader)) error {
	client := fasthttp.HostClient{
		Addr:     address,
		MaxConns: 1,
		Dial: func(a string) (net.Conn, error) {
			d := net.Dialer{Timeout: timeout}
			return d.DialContext(ctx, "tcp4", a)
		},
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.SetConnectionClose()
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return err
	}
	read(&resp.Header)
	return nil
}
