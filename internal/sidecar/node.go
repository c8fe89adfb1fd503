package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
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
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/window"
)

// HeaderCodec translates header fields.
type HeaderCodec interface {
	upstream.HeaderCodec
	Request(h *fasthttp.RequestHeader) (id string, wait time.Duration)
	AppendRequestHead(dst []byte, h *fasthttp.RequestHeader, origin string) []byte
	AppendAttemptFields(dst []byte, wait time.Duration, instance string, body int, hasBody bool) []byte
	AppendRequestID(dst []byte, id string) []byte
	InstanceID(h *fasthttp.ResponseHeader) string
}

// CompactedLog is the platform's log with topics that keep the newest value of each key.
type CompactedLog interface {
	Newest(topic string) (records []keyed.Record, end int64, err error)
	Read(topic string, from int64, wait time.Duration) (records []keyed.Record, end int64, err error)
	Put(topic, key string, value []byte) error
}

// PlatformAPI reads what the operator and backend servers write.
type PlatformAPI struct {
	// DecodeConfiguration decodes a configuration.
	Configuration func(data []byte, random *rand.Rand) (*routing.Table, error)
	// ConfigurationTopic and ConfigurationKey name the record that holds the configuration.
	Topic, Key string
	// ServerID returns the id of the server from the path of its call.
	ServerID func(path string) (id string, ok bool)
	// DecodeHeartbeat decodes the heartbeat of a server.
	Heartbeat func(id string, data []byte) (readiness.Heartbeat, error)
	// IsOffsetOutOfRange reports whether an error of the log says that records at a
	// position have been deleted.
	IsOffsetOutOfRange func(err error) bool
}

// Node is the process beside one backend server.
type Node struct {
	env     *environment.Environment
	dialect HeaderCodec
	formats PlatformAPI
	journal *journal.Journal
	figures *figures
	mesh    *peer.Mesh
	pool    *upstream.Pool
	clients *ingress.Server
	ctx     context.Context
	log     atomic.Pointer[CompactedLog]
	table   atomic.Pointer[routing.Table]
	offers  atomic.Uint64 // id of the last offer

	mu         sync.Mutex
	raw        []byte // document of the configuration in force
	pulled     uint64 // version last asked from another node
	pulledAt   time.Time
	self       registry.Entry
	registry   *registry.Registry
	readiness  *readiness.Tracker
	confirming bool
	runner     *runner.Runner[*run]
	graph      *callgraph.Graph
	latencies  map[message.Route]*latency.Estimator
	windows    map[message.Route]*window.Window
	roster     *roster.Roster
	rostered   uint64 // changes of the registry that the roster holds
	spreads    map[message.Route][]frame.ServiceCalls
	traced     bool                     // some node has traced a call to its run
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
	lastCall   time.Time // if stopping, from when on no call of a run is begun
	leaving    time.Time // when other nodes were told to send no offers
	blind      bool      // the log cannot be read
	publish    chan struct{}
}

// New returns a node that has not been started.
func New(env *environment.Environment, d HeaderCodec, f PlatformAPI, log CompactedLog, j *journal.Journal) *Node {
	n := &Node{
		env:        env,
		dialect:    d,
		formats:    f,
		journal:    j,
		figures:    newFigures(),
		registry:   registry.New(),
		readiness:  &readiness.Tracker{},
		runner:     runner.New[*run](),
		graph:      callgraph.New(),
		latencies:  make(map[message.Route]*latency.Estimator),
		windows:    make(map[message.Route]*window.Window),
		roster:     roster.New(),
		spreads:    make(map[message.Route][]frame.ServiceCalls),
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
	n.pool = upstream.New(env.BackendAddr.String(), d, maxAnswerBody)
	now := time.Now()
	n.self = registry.Entry{
		Node:        env.PeerAddr.String(),
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
func (n *Node) SetLog(l CompactedLog) { n.log.Store(&l) }

// Limits returns the limits of clients that are in force.
func (n *Node) Limits() routing.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits()
	}
	return routing.New(0).Limits()
}

// MalformedRequest notes a request that was refused because of its form.
func (n *Node) MalformedRequest(err error) {
	n.figures.malformed.Inc(1)
	n.journal.WriteSampled(time.Now(), event.RequestMalformed, func() logrus.Fields {
		return logrus.Fields{"detail": err.Error()}
	})
}

// choose returns the node to which a request is offered next, or "".
func (n *Node) choose(now time.Time, c *call) string {
	n.refreshRoster()
	usable := func(node string) bool {
		return !slices.Contains(c.tried, node) && (node == n.self.Node || n.mesh.Link(node) != nil)
	}
	afford := func(retries float64) bool {
		return n.allowance(c.service).Allows(now, n.registry.Len(), c.offer.Priority.Level(), retries)
	}
	if node := n.roster.Choose(now, c.service, rand.Float64(), usable, afford); node != "" {
		return node
	}
	return n.lastResort(c.service, c.tried)
}

// refreshRoster brings the servers that can be chosen to what the registry
// holds, if that has changed.
func (n *Node) refreshRoster() {
	changes := n.registry.Changes()
	if changes == n.rostered {
		return
	}
	n.rostered = changes
	var candidates []roster.Candidate
	for _, e := range n.registry.All() {
		if e.Accepts(e.Service) {
			candidates = append(candidates, roster.Candidate{
				Node: e.Node, Service: e.Service, Slots: e.Slots, SameDomain: e.Domain == n.self.Domain,
			})
		}
	}
	n.roster.Replace(candidates)
}

// lastResort returns the own node if it is stopping and its server could run
// what no other server takes.
func (n *Node) lastResort(service string, tried []string) string {
	e := n.self
	e.Stopping = false
	if e.Accepts(service) && !slices.Contains(tried, e.Node) {
		return e.Node
	}
	return ""
}
