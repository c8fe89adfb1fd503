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
	// maxRetries is the maximum number of retries of each hop.
	maxRetries = 3
	// tryTimeout is the fixed timeout of one attempt.
	tryTimeout = 2 * time.Second
	// maxConns is the maximum number of connections to one server.
	maxConns = 4096
)

// Proxy forwards calls between callers and servers in place of a node.
type Proxy struct {
	registry *Registry
	client   *fasthttp.Client
}

// New returns a proxy that looks up servers in registry.
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

// dial connects without fasthttp's DNS cache, whose cleaner goroutine never
// ends.
func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, tryTimeout) }

// Serve handles callers and, on a second listener, the local backend server
// until ctx ends.
func (p *Proxy) Serve(ctx context.Context, callers, backend *loopback.Listener) error {
	defer p.client.CloseIdleConnections()
	group := pool.New().WithErrors()
	group.Go(func() error { return loopback.Serve(ctx, callers, p.forward) })
	group.Go(func() error { return loopback.Serve(ctx, backend, p.handleBackend) })
	return group.Wait()
}

// handleBackend handles announcements and calls from the backend server.
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

// readAnnouncement parses an announcement and passes it to apply.
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

// forward sends a call to the servers of its service in round-robin order,
// until one responds with a status below 500 or no attempts are left.
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

// try sends a call to the next server, and reports whether its response is
// final.
func (p *Proxy) try(request *fasthttp.Request, response *fasthttp.Response, service, rest string) bool {
	response.Reset()
	address, ok := p.registry.pick(service, time.Now())
	if !ok {
		response.SetStatusCode(http.StatusServiceUnavailable)
		return true
	}
	request.SetRequestURI("http://" + address + "/" + rest)
	if err := p.client.DoTimeout(request, response, tryTimeout); err != nil {
		response.Reset()
		response.SetStatusCode(http.StatusBadGateway)
		return false
	}
	return response.StatusCode() < http.StatusInternalServerError
}
