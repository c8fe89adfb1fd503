package naive

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/lab/loopback"
)

const (
	// maxRetries is the number of further tries of each hop.
	maxRetries = 3
	// tryTimeout is the fixed time limit of one try.
	tryTimeout = 2 * time.Second
	// maxConns bounds the connections to one server.
	maxConns = 4096
)

// Proxy stands between callers and servers in place of a node.
type Proxy struct {
	registry *Registry
	client   *fasthttp.Client
}

// New returns a proxy that finds servers in table.
func New(registry *Registry) *Proxy {
	return &Proxy{registry: registry, client: &fasthttp.Client{
		Dial:                          dial,
		MaxConnsPerHost:               maxConns,
		MaxIdemponentCallAttempts:     1,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
	}}
}

// dial connects without the address cache of fasthttp, whose cleaner never
// ends.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, tryTimeout) }

// Serve answers callers, and the own backend server on a second listener,
// until ctx ends.
func (p *Proxy) Serve(ctx context.Context, callers, backend *loopback.Listener) error {
	defer p.client.CloseIdleConnections()
	group := pool.New().WithErrors()
	group.Go(func() error { return loopback.Serve(ctx, callers, p.forward) })
	group.Go(func() error { return loopback.Serve(ctx, backend, p.handleBackend) })
	return group.Wait()
}

// handleBackend takes announcements and the calls of a backend server.
func (p *Proxy) handleBackend(r *fasthttp.RequestCtx) {
	switch string(r.Path()) {
	case "/announce":
		p.readAnnouncement(r, func(service, address string) { p.registry.add(service, address, time.Now()) })
	case "/drain":
		p.readAnnouncement(r, p.registry.remove)
	default:
		p.forward(r)
	}
}

// readAnnouncement reads an announcement.
func (*Proxy) readAnnouncement(r *fasthttp.RequestCtx, apply func(service, address string)) {
	var a struct {
		Service string `json:"service"`
		Address string `json:"address"`
	}
	if err := json.Unmarshal(r.PostBody(), &a); err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	apply(a.Service, a.Address)
}

// forward sends a call to servers of its service in turn, until one answers
// without an error of its own or the tries are used up.
func (p *Proxy) forward(r *fasthttp.RequestCtx) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(string(r.RequestURI()), "/"), "/")
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	r.Request.CopyTo(request)
	for range 1 + maxRetries {
		if p.try(request, &r.Response, service, rest) {
			break
		}
	}
	r.Response.Header.Del("Connection")
}

// try sends a call to the next server, and reports whether its answer is
// final.
func (p *Proxy) try(request *fasthttp.Request, answer *fasthttp.Response, service, rest string) bool {
	answer.Reset()
	address, ok := p.registry.pick(service, time.Now())
	if !ok {
		answer.SetStatusCode(http.StatusServiceUnavailable)
		return true
	}
	request.SetRequestURI("http://" + address + "/" + rest)
	if err := p.client.DoTimeout(request, answer, tryTimeout); err != nil {
		answer.Reset()
		answer.SetStatusCode(http.StatusBadGateway)
		return false
	}
	return answer.StatusCode() < http.StatusInternalServerError
}
