package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/priority"
)

// Balancer holds the servers of one service as one caller sees them.
type Balancer struct {
	domain  string
	random  *rand.Rand
	servers []*Server
	index   map[instance.ID]int

	mean     time.Duration // recent answer time of the service; 0 if none is known
	measured time.Time     // last change of mean
	fastest  Window
	turns    uint64 // calls given out

	floor    priority.Priority
	floorEnd time.Time
}

// Option sets a property of a Balancer.
type Option func(*Balancer)

// WithRandom sets the source of randomness. Without it, a fixed seed is used.
func WithRandom(r *rand.Rand) Option { return func(b *Balancer) { b.random = r } }

// WithDomain sets the caller's own failure domain, which is preferred between
// servers of about the same score.
func WithDomain(domain string) Option { return func(b *Balancer) { b.domain = domain } }

// New returns a balancer without servers.
func New(options ...Option) *Balancer {
	b := &Balancer{index: map[instance.ID]int{}}
	for _, o := range options {
		o(b)
	}
	if b.random == nil {
		b.random = rand.New(rand.NewPCG(1, 1))
	}
	return b
}

// Len returns the number of servers, usable or not.
func (b *Balancer) Len() int { return len(b.servers) }

// Server returns the server with the given id.
func (b *Balancer) Server(id instance.ID) (*Server, bool) {
	i, ok := b.index[id]
	if !ok {
		return nil, false
	}
	return b.servers[i], true
}

// Join adds a server. For a known one it changes the failure domain and ends
// its draining and its suspicion.
func (b *Balancer) Join(id instance.ID, domain string) {
	s, ok := b.Server(id)
	if !ok {
		s = &Server{id: id, turn: b.turns}
		b.index[id] = len(b.servers)
		b.servers = append(b.servers, s)
	}
	s.domain = domain
	s.near = domain != "" && domain == b.domain
	s.draining, s.suspected = false, false
	b.dropFloor()
}

// Leave removes a server. Calls in flight keep their Server, which is no
// longer chosen.
func (b *Balancer) Leave(id instance.ID) {
	i, ok := b.index[id]
	if !ok {
		return
	}
	last := len(b.servers) - 1
	b.servers[i] = b.servers[last]
	b.index[b.servers[i].id] = i
	b.servers[last] = nil
	b.servers = b.servers[:last]
	delete(b.index, id)
	b.dropFloor()
}

// Drain stops new calls to a server that is leaving.
func (b *Balancer) Drain(id instance.ID) {
	if s, ok := b.Server(id); ok {
		s.draining = true
	}
}

// Suspect stops new calls to a server that the failure detector suspects.
func (b *Balancer) Suspect(id instance.ID) {
	if s, ok := b.Server(id); ok {
		s.suspected = true
	}
}

// Restore ends the suspicion against a server. Draining has no way back but a
// new Join.
func (b *Balancer) Restore(id instance.ID) {
	if s, ok := b.Server(id); ok {
		s.suspected = false
		b.dropFloor()
	}
}
