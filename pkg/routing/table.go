package routing

import (
	"slices"
	"strings"
	"time"
)

// Table holds the routes, services and limits of one version of the
// configuration. Lookup is safe for concurrent use; Route.Choose is not.
type Table struct {
	version  uint64
	hosts    map[string][]*Route // longest prefix first
	services map[string]Service
	limits   Limits
}

// Service describes what the operator says of the servers of one service.
type Service struct {
	HealthPath     string
	MaxConnections int // connections that one server accepts from all callers
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Option adds to a Table under construction.
type Option func(*Table)

// WithRoute adds a route of a host.
func WithRoute(host string, r *Route) Option {
	return func(t *Table) {
		host = strings.ToLower(host)
		t.hosts[host] = append(t.hosts[host], r)
	}
}

// WithService adds a service.
func WithService(name string, s Service) Option {
	return func(t *Table) { t.services[name] = s }
}

// WithLimits sets the limits of clients.
func WithLimits(l Limits) Option { return func(t *Table) { t.limits = l } }

// New returns the table of a version.
func New(version uint64, options ...Option) *Table {
	t := &Table{
		version:  version,
		hosts:    make(map[string][]*Route),
		services: make(map[string]Service),
		limits:   defaultLimits,
	}
	for _, o := range options {
		o(t)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	return t
}

// defaultLimits apply until a configuration names others. They are the values
// of net/http for headers and of most proxies for idle connections.
var defaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Version returns the version of the configuration; larger is newer.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits of clients.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what is configured for a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Lookup returns the route with the longest prefix that begins path, among the
// routes of host, or nil.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}
