package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/environment"
	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/internal/ingress"
	"github.com/papayapath/papayapath/internal/journal"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/ratelimit"
	"github.com/papayapath/papayapath/internal/upstream"
	"github.com/papayapath/papayapath/pkg/allowance"
	"github.com/papayapath/papayapath/pkg/callgraph"
	"github.com/papayapath/papayapath/pkg/crash"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/freshness"
	"github.com/papayapath/papayapath/pkg/intake"
	"github.com/papayapath/papayapath/pkg/keyed"
	"github.com/papayapath/papayapath/pkg/latency"
	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/notice"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/prospect"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
	"github.com/papayapath/papayapath/pkg/roster"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/runner"
	"github.com/papayapath/papayapath/pkg/starvation"
	"github.com/papayapath/papayapath/pkg/transit"
	"github.com/papayapath/papayapath/pkg/waitlist"
	"github.com/papayapath/papayapath/pkg/window"
	"github.com/papayapath/papayapath/pkg/withdrawal"
)

// HeaderCodec reads and writes the header fields of the platform.
type HeaderCodec interface {
	upstream.HeaderCodec
	Request(h *fasthttp.RequestHeader) (id string, wait time.Duration)
	Key(h *fasthttp.RequestHeader) (key []byte, ok bool)
	AppendChallenge(dst []byte) []byte
	AppendRequestHead(dst []byte, h *fasthttp.RequestHeader, origin string, withoutKey bool) []byte
	AppendCustomer(dst []byte, name string) []byte
	AppendAttemptFields(dst []byte, wait time.Duration, instance string, body int, hasBody bool) []byte
	AppendRequestID(dst []byte, id string) []byte
	InstanceID(h *fasthttp.ResponseHeader) string
}

// CompactedLog is the platform log. Its topics retain the newest value of each
// key.
type CompactedLog interface {
	Newest(topic string) (records []keyed.Record, end int64, err error)
	Read(topic string, from int64, wait time.Duration) (records []keyed.Record, end int64, err error)
	Put(topic, key string, value []byte) error
	// NewestIn and AppendAt use a partition of a topic. AppendAt appends a record only
	// if the partition ends at an offset, and returns its new end.
	NewestIn(topic string, partition int) (records []keyed.Record, end int64, err error)
	AppendAt(topic string, partition int, key string, value []byte, at int64) (end int64, err error)
	// Generation returns a number that rises when the log has lost records that
	// it had accepted, and 0 while it is unknown.
	Generation() uint64
}

// PlatformAPI holds the decoders and names of the data that the operator and the
// backend servers write.
type PlatformAPI struct {
	// Configuration decodes a configuration document into a routing table.
	Configuration func(data []byte, random *rand.Rand) (*routing.Table, error)
	// Topic and Key identify the log record that holds the configuration.
	Topic, Key string
	// ServerID extracts the backend server ID from the path of a control request.
	ServerID func(path string) (id string, ok bool)
	// Heartbeat decodes the heartbeat of a backend server.
	Heartbeat func(id string, data []byte) (readiness.Heartbeat, error)
	// IsOffsetOutOfRange reports whether a log error means that the records at
	// the requested position have been deleted.
	IsOffsetOutOfRange func(err error) bool
	// IsConflict reports whether a log error means that a partition does not end at the
	// offset that was the condition of an append.
	IsConflict func(err error) bool
	// IsRejected reports whether a log error means that a call had no effect.
	IsRejected func(err error) bool
}

// Node accepts client requests and executes offers on the local backend server.
// Create it with New and start it with Run.
type Node struct {
	env          *environment.Environment
	codec        HeaderCodec
	platform     PlatformAPI
	journal      *journal.Journal
	stats        *stats
	budget       *memory.Budget
	mesh         *peer.Mesh
	pool         *upstream.Pool
	clients      *ingress.Server
	ctx          context.Context
	started      time.Time // origin of the clock readings in offers
	log          atomic.Pointer[CompactedLog]
	gracePeriod  atomic.Int64 // nanoseconds between the signal to stop and the end of the process
	table        atomic.Pointer[routing.Table]
	offerCount   atomic.Uint64 // number of offers sent, and ID of the latest
	rewriteEntry atomic.Bool   // the platform log may have lost the local entry
	limiter      *ratelimit.Limiter
	limiterRuns  atomic.Bool // a configuration has had a customer with a limit

	exiting       chan struct{} // closed when a stopping node exits
	unsentAnswers atomic.Int64  // answers to offers that have not been passed on

	mu                 sync.Mutex
	rawConfiguration   []byte // encoded configuration in force
	freshness          freshness.Freshness
	requestedVersion   uint64 // configuration version last requested from another node
	requestedAt        time.Time
	self               registry.Entry
	registry           *registry.Registry
	readiness          *readiness.Tracker
	healthCheckRunning bool
	notice             notice.Notice            // of the latest answer of the local backend server
	sendCounts         [limitLogIntervals]int64 // requests sent until each of the last ticks
	runner             *runner.Runner[*execution]
	intake             *intake.Intake           // rate of the requests to the local backend server
	notices            map[string]*frame.Notice // what the servers of nodes said of themselves, by node
	callGraph          *callgraph.Graph
	latencies          map[message.Route]*latency.Estimator
	runLatencies       map[message.Route]*latency.Estimator // of offers to the local backend server
	windows            map[message.Route]*window.Window
	waiting            map[message.Route]*waitlist.List[*request] // requests that wait for a place in their window
	prospects          *prospect.Tracker[message.Route]           // of the requests of clients, by route
	starvation         *starvation.Detector[message.Route]        // of the requests of clients, by route
	roster             *roster.Roster
	placement          *placement // nil unless the settings ask for it
	rosterRevision     uint64     // registry revision that the roster reflects
	fanouts            map[message.Route][]frame.ServiceCalls
	callsTraced        bool                     // a node has traced a nested call to its parent execution
	calledServices     map[message.Route]string // services of the routes that the local backend server calls
	retryBudgets       map[string]*allowance.Allowance
	sharing            *sharing // nil unless the settings call for it
	quarantine         *quarantine.Quarantine
	crashes            crash.Tracker
	crashedServer      readiness.Incarnation // latest one whose crash was recorded
	brokenAt           time.Time             // if a probe of the server is scheduled, when the latest connection broke
	pending            map[uint64]*pending
	executions         map[executionKey]*execution
	transits           map[*peer.Link]*transit.Estimator // delays of the offers on inbound links
	confirmations      map[*peer.Link]*confirmation      // delayed offers, by inbound link
	runningByRequest   map[string]*execution             // executions in progress, by request ID
	withdrawals        *withdrawal.Record                // requests that were withdrawn while they ran here
	expiryScheduled    bool
	queueCheckedAt     time.Time // if expiryScheduled, when the queue was last checked
	resumedAt          time.Time // end of the interval that follows a pause of the process
	// A node that stops goes through these states: ending (in its entry, with
	// stopping here) from the signal on, while it takes offers; Stopping in its entry,
	// when it takes none; exitDecided, when it takes nothing at all; exiting, when it
	// ends what is open.
	stopping        bool
	replacesStopped bool                // the process before this one was stopped
	stoppedAt       time.Time           // if stopping, time of the signal
	admissionEnd    time.Time           // if stopping, time from which new requests are refused
	exitDeadline    time.Time           // if stopping, time of the exit
	stopAnnouncedAt time.Time           // when the other nodes were told to send no more offers
	endingNodes     map[string]struct{} // nodes whose entry says Ending
	exitDecided     bool                // nothing is taken any more
	logUnreadable   bool
	logGeneration   uint64 // highest generation of the platform log heard of
	entryChanged    chan struct{}
}

// New returns a node that has not been started. It holds what others send within b.
func New(env *environment.Environment, headerCodec HeaderCodec, api PlatformAPI, log CompactedLog, j *journal.Journal, b *memory.Budget) *Node {
	n := &Node{
		env:              env,
		budget:           b,
		codec:            headerCodec,
		platform:         api,
		journal:          j,
		stats:            newStats(),
		registry:         registry.New(),
		readiness:        &readiness.Tracker{},
		intake:           &intake.Intake{},
		notices:          make(map[string]*frame.Notice),
		callGraph:        callgraph.New(),
		latencies:        make(map[message.Route]*latency.Estimator),
		windows:          make(map[message.Route]*window.Window),
		waiting:          make(map[message.Route]*waitlist.List[*request]),
		prospects:        prospect.New[message.Route](),
		starvation:       starvation.New[message.Route](),
		roster:           roster.New(),
		placement:        newPlacement(env.Pool),
		fanouts:          make(map[message.Route][]frame.ServiceCalls),
		calledServices:   make(map[message.Route]string),
		quarantine:       quarantine.New(quarantine.WithoutIsolation()),
		retryBudgets:     make(map[string]*allowance.Allowance),
		pending:          make(map[uint64]*pending),
		executions:       make(map[executionKey]*execution),
		transits:         make(map[*peer.Link]*transit.Estimator),
		confirmations:    make(map[*peer.Link]*confirmation),
		runningByRequest: make(map[string]*execution),
		withdrawals:      withdrawal.New(maxWithdrawals),
		entryChanged:     make(chan struct{}, 1),
		exiting:          make(chan struct{}),
		endingNodes:      make(map[string]struct{}),
		runLatencies:     make(map[message.Route]*latency.Estimator),
	}
	options := []runner.Option{runner.WithPacer(n.intake)}
	if env.Pool {
		options = append(options, runner.WithDeadlines())
	}
	n.runner = runner.New[*execution](options...)
	n.log.Store(&log)
	n.gracePeriod.Store(int64(env.GracePeriod))
	n.mesh = peer.NewMesh(n, peer.WithBudget(b))
	n.clients = ingress.New(n, ingress.WithBudget(b))
	n.pool = upstream.New(env.BackendAddr.String(), headerCodec, maxResponseBody, upstream.WithBudget(b))
	now := time.Now()
	n.started = now
	if env.Pool {
		n.sharing = newSharing(now, env)
	}
	n.self = registry.Entry{
		Node:        env.PeerAddr.String(),
		Incarnation: now.UnixMilli(),
		Revision:    1,
		Domain:      env.Domain,
		Service:     env.Service,
	}
	n.registry.Merge(now, n.self)
	n.limiter = n.newLimiter()
	return n
}

// maxWithdrawals bounds the number of withdrawn requests that are remembered. At
// the target, 320 calls a second arrive at a node, and one waits for 30 s at most.
const maxWithdrawals = 10_000

// maxResponseBody bounds the body of a backend server's response, in bytes.
const maxResponseBody = 64 << 20

// Budget returns the memory budget of the node.
func (n *Node) Budget() *memory.Budget { return n.budget }

// SetGracePeriod sets the time between the signal to stop and the end of the process. A
// node that is stopping keeps the one that it had at the signal.
func (n *Node) SetGracePeriod(d time.Duration) { n.gracePeriod.Store(int64(d)) }

// grace returns the time between the signal to stop and the end of the process.
func (n *Node) grace() time.Duration { return time.Duration(n.gracePeriod.Load()) }

// SetLog replaces the client of the platform log.
func (n *Node) SetLog(l CompactedLog) { n.log.Store(&l) }

// Limits returns the client limits of the configuration in force, or the defaults
// if there is none.
func (n *Node) Limits() routing.Limits {
	if t := n.table.Load(); t != nil {
		return t.Limits()
	}
	return routing.New(0).Limits()
}

// MalformedRequest records a request that was refused because it is malformed. The log
// line does not quote it, since it may hold the API key of a customer.
func (n *Node) MalformedRequest(err error) {
	n.stats.malformed.Inc(1)
	n.journal.WriteSampled(time.Now(), event.RequestMalformed, func() logrus.Fields {
		return logrus.Fields{"detail": malformedDetail(err)}
	})
}

// malformedDetail describes why a request is malformed. The errors of the HTTP library
// quote parts of the request.
func malformedDetail(err error) string {
	var small *fasthttp.ErrSmallBuffer
	var unclear *framing.Error
	var exhausted *memory.ExhaustedError
	switch {
	case errors.As(err, &small):
		return "header section too large"
	case errors.As(err, &unclear), errors.As(err, &exhausted), errors.Is(err, payload.ErrTooLarge):
		return err.Error()
	}
	return "not a valid HTTP request"
}

// RefuseRequest returns the response to a request that was not received because
// there is no memory for it.
func (n *Node) RefuseRequest(h *fasthttp.RequestHeader, receivedAt time.Time, err error) ingress.Response {
	n.recordExhausted(err)
	req := &request{arrival: receivedAt, clientDeadline: receivedAt.Add(unknownTimeout)}
	if h != nil {
		var timeout time.Duration
		if req.id, timeout = n.codec.Request(h); timeout > 0 {
			req.clientDeadline = receivedAt.Add(timeout)
		}
	}
	return n.refuse(req, outcome.Memory)
}

// unknownTimeout is the deadline that is assumed for a request whose header was not
// received, to tell the client when to return.
const unknownTimeout = time.Second

// ConnectionRefused records that a connection was closed because there is no memory
// for it.
func (n *Node) ConnectionRefused(err error) { n.recordExhausted(err) }

// recordExhausted records that the memory budget was exhausted.
func (n *Node) recordExhausted(err error) {
	n.journal.WriteSampled(time.Now(), event.MemoryExhausted, func() logrus.Fields {
		s := n.budget.Stats()
		f := logrus.Fields{"detail": err.Error(), "used": s.Used, "limit": n.budget.Limit()}
		for h, size := range s.Held {
			f[memory.Holder(h).String()] = size
		}
		return f
	})
}

// chooseNode returns the node to which a request is offered next, or "" if there
// is none.
func (n *Node) chooseNode(now time.Time, req *request) string {
	n.refreshRoster(now)
	isUsable := func(node string) bool {
		return !slices.Contains(req.triedNodes, node) && req.resends.allows(node) && (node == n.self.Node || n.mesh.Link(node) != nil)
	}
	isLasting := func(node string) bool {
		_, ending := n.endingNodes[node]
		return (!ending || n.stopping && node == n.self.Node) && isUsable(node)
	}
	withinBudget := func(retries float64) bool {
		return n.allowance(req.service).Allows(now, n.registry.Len(), req.offer.Priority.Level(), retries)
	}
	if !req.offer.Repeatable && len(n.endingNodes) > 0 {
		// A run that outlasts its node is lost. This node may exit later than the other.
		if node := n.chooseServer(now, req, isLasting, withinBudget); node != "" {
			return node
		}
	}
	if node := n.chooseServer(now, req, isUsable, withinBudget); node != "" {
		return node
	}
	return n.fallbackNode(req.service, req.triedNodes)
}

// refreshRoster updates the roster from the registry if the registry has changed.
func (n *Node) refreshRoster(now time.Time) {
	changes := n.registry.Changes()
	if changes == n.rosterRevision {
		return
	}
	n.rosterRevision = changes
	var candidates []roster.Candidate
	clear(n.endingNodes)
	for _, e := range n.registry.All() {
		if e.Ending {
			n.endingNodes[e.Node] = struct{}{}
		}
		if e.Accepts(e.Service) && !n.registry.IsLeaving(e) {
			candidates = append(candidates, roster.Candidate{
				Node: e.Node, Service: e.Service, Slots: e.Slots, SameDomain: e.Domain == n.self.Domain,
			})
		}
	}
	n.roster.Replace(candidates)
	if n.sharing != nil {
		n.sharing.setNodes(now, n.env, n.registry.Len(), n.roster.Servers(n.env.Service))
	}
}

// fallbackNode returns the local node if its backend server accepts the service
// and has not been tried, even if the node is stopping, and "" otherwise. It is
// used when no other node is available.
func (n *Node) fallbackNode(service string, tried []string) string {
	e := n.self
	e.Stopping = false
	if e.Accepts(service) && !slices.Contains(tried, e.Node) {
		return e.Node
	}
	return ""
}
