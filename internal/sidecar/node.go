package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/callgraph"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/keyed"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/presence"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/registry"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/window"
)

// Dialect translates header fields.
type Dialect interface {
	upstream.Dialect
	Request(h *fasthttp.RequestHeader) (id string, wait time.Duration)
	AppendRequest(dst []byte, h *fasthttp.RequestHeader, origin string) []byte
	AppendTarget(dst []byte, wait time.Duration, instance string, body int, hasBody bool) []byte
	AppendRequestID(dst []byte, id string) []byte
	Instance(h *fasthttp.ResponseHeader) string
}

// Log is the platform's log with topics that keep the newest value of each key.
type Log interface {
	Newest(topic string) (records []keyed.Record, end int64, err error)
	Read(topic string, from int64, wait time.Duration) (records []keyed.Record, end int64, err error)
	Put(topic, key string, value []byte) error
}

// Formats reads what the operator and backend servers write.
type Formats struct {
	// Configuration decodes a configuration.
	Configuration func(data []byte, random *rand.Rand) (*routing.Table, error)
	// Topic and Key name the record that holds the configuration.
	Topic, Key string
	// Server returns the id of the server from the path of its call.
	Server func(path string) (id string, ok bool)
	// Heartbeat decodes the heartbeat of a server.
	Heartbeat func(id string, data []byte) (presence.Heartbeat, error)
	// IsExpired reports whether an error of the log says that records at a
	// position have been deleted.
	IsExpired func(err error) bool
}

// Node is the process beside one backend server.
type Node struct {
	env     *environment.Environment
	dialect Dialect
	formats Formats
	journal *journal.Journal
	figures *figures
	mesh    *peer.Mesh
	pool    *upstream.Pool
	clients *ingress.Server
	ctx     context.Context
	log     atomic.Pointer[Log]
	table   atomic.Pointer[routing.Table]
	offers  atomic.Uint64 // id of the last offer

	mu         sync.Mutex
	raw        []byte // document of the configuration in force
	pulled     uint64 // version last asked from another node
	pulledAt   time.Time
	self       registry.Entry
	registry   *registry.Registry
	presence   *presence.Presence
	confirming bool
	runner     *runner.Runner[*run]
	graph      *callgraph.Graph
	latencies  map[message.Route]*latency.Estimate
	windows    map[message.Route]*window.Window
	servers    map[string]*server // by address of the node
	members    map[string][]string
	memberedAt uint64 // changes of the registry at which members was derived
	spreads    map[message.Route][]frame.Share
	services   map[message.Route]string // of the calls that the own server makes
	allowances map[string]*allowance.Allowance
	quarantine *quarantine.Quarantine
	broken     []brokenRun
	pending    map[uint64]*pending
	runs       map[runKey]*run
	running    map[string]*run // by id of the request
	expiring   bool
	stopping   bool
	closing    time.Time // if stopping, from when on no request is begun
	blind      bool      // the log cannot be read
	publish    chan struct{}
}

// New returns a node that has not been started.
func New(env *environment.Environment, d Dialect, f Formats, log Log, j *journal.Journal) *Node {
	n := &Node{
		env:        env,
		dialect:    d,
		formats:    f,
		journal:    j,
		figures:    newFigures(),
		registry:   registry.New(),
		presence:   &presence.Presence{},
		runner:     runner.New[*run](),
		graph:      callgraph.New(),
		latencies:  make(map[message.Route]*latency.Estimate),
		windows:    make(map[message.Route]*window.Window),
		servers:    make(map[string]*server),
		spreads:    make(map[message.Route][]frame.Share),
		services:   make(map[message.Route]string),
		quarantine: quarantine.New(quarantine.WithoutIsolation()),
		allowances: make(map[string]*allowance.Allowance),
		pending:    make(map[uint64]*pending),
		runs:       make(map[runKey]*run),
		running:    make(map[string]*run),
		publish:    make(chan struct{}, 1),
	}
	n.log.Store(&log)
	n.mesh = peer.NewMesh(n)
	n.clients = ingress.New(n)
	n.pool = upstream.New(env.Backend.String(), d, maxAnswerBody)
	now := time.Now()
	n.self = registry.Entry{
		Node:        env.Links.String(),
		Incarnation: now.UnixMilli(),
		Revision:    1,
		Domain:      env.Domain,
		Service:     env.Service,
	}
	n.registry.Merge(now, n.self)
	return n
}

// maxAnswerBody bounds the body of a server's answer that is kept in memory.
const maxAnswerBody = 64 << 20

// SetLog replaces the client of the platform log.
func (n *Node) SetLog(l Log) { n.log.Store(&l) }

// Limits returns the limits of clients that are in force.
func (n *Node) Limits() routing.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits()
	}
	return routing.New(0).Limits()
}

// Malformed notes a request that was refused because of its form.
func (n *Node) Malformed(err error) {
	n.figures.malformed.Inc(1)
	n.journal.Sample(time.Now(), event.RequestMalformed, func() logrus.Fields {
		return logrus.Fields{"detail": err.Error()}
	})
}

// server is what this node knows of another node's server as a target.
type server struct {
	address string
	load    int           // requests that run or wait there, as last told
	limit   int           // requests that it runs at once, as last told
	time    time.Duration // that a request takes there, as last told
	since   int           // offers of this node since then
	open    int           // offers of this node without an answer
	told    time.Time
}

// cost estimates how long a request would take at the server: its run time,
// divided by the part of the capacity that is free. What was told loses its
// force with age, so that a server which was full or slow gets requests again
// that tell how it is now: its load falls to nothing and its run time to
// typical, that of the other servers.
func (s *server) cost(now time.Time, slots int, home bool, typical time.Duration) time.Duration {
	limit := s.limit
	if limit == 0 {
		limit = max(1, slots)
	}
	age := now.Sub(s.told)
	load := s.load
	run := max(s.time, shortest)
	if run > typical {
		run = typical + time.Duration(force(age, fresh, forgiven)*float64(run-typical))
	}
	use := max(force(age, fresh, stale)*float64(load)+float64(s.since), float64(s.open)) / float64(limit)
	free := 1 - use
	if free < leastFree {
		// Beyond the limit each further request waits for another one.
		free = leastFree / (1 + (leastFree-free)/leastFree)
	}
	if !home {
		run += run/awayPart + awayTime
	}
	return time.Duration(float64(run) / free)
}

// force returns the part of what was told that still counts at an age: all
// until from, nothing after to.
func force(age, from, to time.Duration) float64 {
	return max(0, min(1, 1-float64(age-from)/float64(to-from)))
}

// slow records that a request got no answer from the server for a time.
func (s *server) slow(now time.Time, waited time.Duration) {
	if waited > s.time {
		s.time = waited
	}
	s.told = now
}

const (
	// fresh is the age up to which a server's load is taken as told.
	fresh = 200 * time.Millisecond
	// stale is the age from which a server's load says nothing.
	stale = 2 * time.Second
	// forgiven is the age from which a slow server counts like the others. It
	// is longer than stale because finding out costs a slow request.
	forgiven = 8 * time.Second
	// leastFree is the part of the capacity that counts as free at least.
	leastFree = 0.1
	// shortest is the run time assumed of a server that has told none.
	shortest = time.Millisecond
	// awayPart and awayTime make a server in another failure domain look
	// slower, by a part of its run time and by a round trip, so that traffic
	// stays at home while that costs the caller nothing.
	awayPart = 8
	awayTime = 3 * time.Millisecond
)

// serverAt returns the record of the server beside a node.
func (n *Node) serverAt(address string) *server {
	s := n.servers[address]
	if s == nil {
		s = &server{address: address}
		n.servers[address] = s
	}
	return s
}

// candidates returns the nodes that take requests of a service.
func (n *Node) candidates(service string) []string {
	if c := n.registry.Changes(); c != n.memberedAt || n.members == nil {
		n.members = make(map[string][]string)
		for _, e := range n.registry.All() {
			if e.Takes(e.Service) {
				n.members[e.Service] = append(n.members[e.Service], e.Node)
			}
		}
		n.memberedAt = c
	}
	return n.members[service]
}

// choose returns the node to which a request is offered next, or "".
func (n *Node) choose(now time.Time, service string, tried []string) string {
	candidates := n.candidates(service)
	best, least := "", time.Duration(0)
	typical := n.typical(candidates)
	offset := 0
	if len(candidates) > 0 {
		offset = rand.IntN(len(candidates))
	}
	for i := range candidates {
		address := candidates[(i+offset)%len(candidates)]
		if contains(tried, address) || address != n.self.Node && n.mesh.Link(address) == nil {
			continue
		}
		e, _ := n.registry.Get(address)
		cost := n.serverAt(address).cost(now, e.Slots, e.Domain == n.self.Domain, typical)
		if best == "" || cost < least {
			best, least = address, cost
		}
	}
	if best == "" {
		return n.lastResort(service, tried)
	}
	return best
}

// hasRoom reports whether the server beside a node, or "" for none, has a free
// place as far as this node knows.
func (n *Node) hasRoom(address string) bool {
	s := n.servers[address]
	return s != nil && s.load+s.since < s.limit
}

// typical returns the mean run time that the servers beside some nodes told.
func (n *Node) typical(nodes []string) time.Duration {
	sum, told := time.Duration(0), 0
	for _, address := range nodes {
		if s := n.servers[address]; s != nil && s.time > 0 {
			sum += s.time
			told++
		}
	}
	if told == 0 {
		return shortest
	}
	return sum / time.Duration(told)
}

// lastResort returns the own node if it is stopping and its server could run
// what no other server takes.
func (n *Node) lastResort(service string, tried []string) string {
	e := n.self
	e.Stopping = false
	if e.Takes(service) && !contains(tried, e.Node) {
		return e.Node
	}
	return ""
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}
