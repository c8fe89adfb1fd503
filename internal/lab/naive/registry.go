package naive

import (
	"slices"
	"sync"
	"time"
)

// announcementTimeout is how long a server stays in use after its last
// announcement. It is ten announcement intervals.
const announcementTimeout = 2 * time.Second

// Registry holds the servers of each service. All proxies of a mesh share one.
type Registry struct {
	mu       sync.Mutex
	services map[string]*service
}

// service holds the servers of a service and the round-robin position.
type service struct {
	servers  []string
	lastSeen map[string]time.Time
	next     int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{services: make(map[string]*service)} }

// add registers a server or renews its registration.
func (r *Registry) add(name, address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		s = &service{lastSeen: make(map[string]time.Time)}
		r.services[name] = s
	}
	if _, known := s.lastSeen[address]; !known {
		s.servers = append(s.servers, address)
	}
	s.lastSeen[address] = now
}

// remove unregisters a server.
func (r *Registry) remove(name, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		s.remove(address)
	}
}

// pick returns the next server of a service, or false if there is none.
func (r *Registry) pick(name string, now time.Time) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	for s != nil && len(s.servers) > 0 {
		s.next = (s.next + 1) % len(s.servers)
		address := s.servers[s.next]
		if now.Sub(s.lastSeen[address]) <= announcementTimeout {
			return address, true
		}
		s.remove(address)
	}
	return "", false
}

func (s *service) remove(address string) {
	delete(s.lastSeen, address)
	s.servers = slices.DeleteFunc(s.servers, func(a string) bool { return a == address })
}
