package routing

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/papayapath/papayapath/pkg/keyring"
)

// Table holds the routes, services and limits of one configuration version.
// Lookup is safe for concurrent use; Route.ChooseService is not.
type Table struct {
	version  uint64
	hosts    map[string][]*Route // longest prefix first
	services map[string]Service
	limits   Limits
	keys     *keyring.Keyring
	warnings []string
}

// Service is the configuration of the servers of one service.
type Service struct {
	HealthPath     string
	MaxConnections int // connections that one server accepts, from all callers together
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Option configures a Table.
type Option func(*Table)

// WithRoute adds a route to a host.
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

// WithKeyring sets the customers and their API keys. Requests on routes that are not
// open need a key if there are customers.
func WithKeyring(k *keyring.Keyring) Option { return func(t *Table) { t.keys = k } }

// WithWarning adds a warning about a part of the configuration that is served in a
// restricted way.
func WithWarning(text string) Option {
	return func(t *Table) { t.warnings = append(t.warnings, text) }
}

// WithLimits sets the limits on client requests.
func WithLimits(l Limits) Option { return func(t *Table) { t.limits = l } }

// New returns the table of a configuration version.
func New(version uint64, options ...Option) *Table {
	t := &Table{
		version:  version,
		hosts:    make(map[string][]*Route),
		services: make(map[string]Service),
		limits:   defaultLimits,
		keys:     &keyring.Keyring{},
	}
	for _, o := range options {
		o(t)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	return t
}

// defaultLimits apply until a configuration overrides them. The values are
// those of net/http for headers and of most proxies for idle connections.
var defaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// Version returns the configuration version. A larger version is newer.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on client requests.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the configuration of a service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services yields the services with their configuration, in no particular order.
func (t *Table) Services() iter.Seq2[string, Service] { return maps.All(t.services) }

// Hosts returns the hosts that have routes, in order of their names.
func (t *Table) Hosts() []string { return slices.Sorted(maps.Keys(t.hosts)) }

// Routes returns the routes of a host, those with the longest prefix first. Of routes with
// the same prefix the first one is in use.
func (t *Table) Routes(host string) []*Route { return slices.Clone(t.hosts[host]) }

// Keyring returns the customers and their API keys.
func (t *Table) Keyring() *keyring.Keyring { return t.keys }

// HasCustomers reports whether requests are made on behalf of customers.
func (t *Table) HasCustomers() bool { return t.keys.Len() > 0 }

// Warnings returns what is served in a restricted way.
func (t *Table) Warnings() []string { return t.warnings }

// Lookup returns the route of host with the longest prefix of path, or nil if
// none matches.
func (t *Table) Lookup(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.prefix) {
			return r
		}
	}
	return nil
}
