package naive

import (
	"slices"
	"sync"
	"time"
)

// announcementTimeout is how long a server may go without an announcement before calls
// avoid it. It is ten heartbeats.
const announcementTimeout = 2 * time.Second

// Registry holds the servers of each service. All proxies of a mesh share one.
type Registry struct {
	mu       sync.Mutex
	services map[string]*service
}

// service is the list of servers of one service and the next one in turn.
type service struct {
	servers  []string
	lastSeen map[string]time.Time
	next     int
}

// NewRegistry returns an empty table.
func NewRegistry() *Registry { return &Registry{services: make(map[string]*service)} }

// add notes an announcement.
func (t *Registry) add(name, address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		s = &service{lastSeen: make(map[string]time.Time)}
		t.services[name] = s
	}
	if _, known := s.lastSeen[address]; !known {
		s.servers = append(s.servers, address)
	}
	s.lastSeen[address] = now
}

// remove forgets a server.
func (t *Registry) remove(name, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[name]; s != nil {
		s.remove(address)
	}
}

// pick returns the next server of a service, or false if there is none.
func (t *Registry) pick(name string, now time.Time) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
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
