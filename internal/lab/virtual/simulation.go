package virtual

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/timeline"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	// failureDomains is the number of failure domains of both deployments.
	failureDomains = 3
	// poisonPath distinguishes the content of requests that crash servers from
	// that of all others.
	poisonPath = "/poison"
	// minMessageDelay and maxMessageDelay bound the one-way message delay between
	// two instances.
	minMessageDelay = time.Millisecond
	maxMessageDelay = 1500 * time.Microsecond
)

// encodeFailure is the panic message for contracts that can't be encoded.
const encodeFailure = "virtual: contract can't be encoded"

// epoch is the start of virtual time.
var epoch = time.Date(2026, time.January, 5, 8, 0, 0, 0, time.UTC)

// Simulation is a simulated deployment. It is not safe for concurrent use.
type Simulation struct {
	*timeline.Scheduler
	deployment       *deployment.Deployment
	seed             uint64
	random           *rand.Rand
	incarnation      uint64
	hosts            []*host
	log              *log
	history          *history.History
	clients          []*client
	outcomeCounts    map[string]int
	generating       bool
	loadFactor       float64
	immediateRetries bool
	partitioned      map[[2]int]bool // pairs of failure domains without a connection
	lastEntry        int
	published        int
	crashes          int
}

// New returns a simulation of the deployment d at the start of virtual time, with
// its nodes started and its contracts published.
func New(d *deployment.Deployment, seed uint64) *Simulation {
	sim := &Simulation{
		Scheduler: timeline.New(epoch), deployment: d, seed: seed,
		random: rand.New(rand.NewPCG(seed, seed)),
		log:    newLog(), history: history.New(), outcomeCounts: make(map[string]int),
		loadFactor: 1, partitioned: make(map[[2]int]bool), incarnation: 1000,
	}
	for i, s := range d.Placements() {
		h := &host{simulation: sim, index: i, domain: i % failureDomains, service: s}
		sim.hosts = append(sim.hosts, h)
		h.start()
	}
	for _, c := range d.Customers() {
		sim.clients = append(sim.clients, newClient(sim, c))
	}
	sim.PublishContracts(d.Contracts()...)
	return sim
}

// Deployment returns the simulated deployment.
func (sim *Simulation) Deployment() *deployment.Deployment { return sim.deployment }

// History returns the record of runs, requests and answers to callers.
func (sim *Simulation) History() *history.History { return sim.history }

// Verdict returns the number of violations of each delivery guarantee, which must
// all be zero.
func (sim *Simulation) Verdict() checker.Verdict { return checker.New(sim.history) }

// OutcomeCounts returns the number of answers to callers by outcome and reason.
func (sim *Simulation) OutcomeCounts() map[string]int { return sim.outcomeCounts }

// Result returns the figures of an experiment with the given phases.
func (sim *Simulation) Result(p figures.PhaseTimes, limit int) figures.Result {
	return figures.New(figures.Parameters{
		Deployment: sim.deployment.Name(), Variant: "papayapath", Seed: sim.seed, Limit: limit,
	}, p, sim.history)
}

// PublishContracts appends contracts to the log, as an operator would.
func (sim *Simulation) PublishContracts(contracts ...*contract.Contract) {
	change := &message.Change{Operator: "virtual", Base: sim.hosts[0].node.Status(sim.Now()).Version()}
	for _, c := range contracts {
		change.Contracts = append(change.Contracts, c.Document())
	}
	data, err := message.Encode(message.DeclarationRecord{Change: change})
	if err != nil {
		panic(encodeFailure)
	}
	sim.published++
	sim.log.append(node.Append{
		Stream: declarations.Stream, ID: fmt.Sprintf("publish-%d", sim.published), Data: data,
	})
}

// SetLoad starts or changes the load: loadFactor is relative to the normal
// load, and immediateRetries shortens the retry delay of clients.
func (sim *Simulation) SetLoad(loadFactor float64, immediateRetries bool) {
	started := sim.generating
	sim.loadFactor, sim.immediateRetries, sim.generating = loadFactor, immediateRetries, true
	if !started {
		for _, c := range sim.clients {
			c.scheduleArrival()
		}
	}
}

// StopLoad stops the arrival of new requests.
func (sim *Simulation) StopLoad() { sim.generating = false }

// SendPoisonRequest sends a request of the first customer that crashes every
// server that runs it. The client retries it like any other request.
func (sim *Simulation) SendPoisonRequest() {
	c := sim.clients[0]
	class := c.customer.Classes[0]
	class.Path += poisonPath
	c.newRequest(class, true).send()
}

// HostIndices returns the indices of the hosts of a service.
func (sim *Simulation) HostIndices(service string) []int {
	var found []int
	for i, h := range sim.hosts {
		if h.service.Name == service {
			found = append(found, i)
		}
	}
	return found
}

// NodeAt returns the node of the host with index i.
func (sim *Simulation) NodeAt(i int) *node.Node { return sim.hosts[i].node }

// SetSlowdown multiplies the run times of a service by factor.
func (sim *Simulation) SetSlowdown(service string, factor float64) {
	for _, i := range sim.HostIndices(service) {
		sim.hosts[i].server.slowdown = factor
	}
}

// CrashInstance crashes the node and the backend server of an instance.
func (sim *Simulation) CrashInstance(i int) { sim.hosts[i].crash() }

// StartInstance restarts a crashed or stopped instance.
func (sim *Simulation) StartInstance(i int) { sim.hosts[i].start() }

// CrashServer crashes the backend server of an instance. It restarts by itself.
func (sim *Simulation) CrashServer(i int) { sim.hosts[i].server.crash() }

// PauseNode pauses the process of a node for d. Its backend server keeps running.
func (sim *Simulation) PauseNode(i int, d time.Duration) { sim.hosts[i].pausedUntil = sim.Now().Add(d) }

// Drain drains the backend server of an instance.
func (sim *Simulation) Drain(i int) {
	h := sim.hosts[i]
	h.server.draining = true
	h.runDecision(h.node.Drain)
}

// SetPartitioned partitions or reconnects two failure domains.
func (sim *Simulation) SetPartitioned(a, b int, partitioned bool) {
	sim.partitioned[[2]int{a, b}] = partitioned
	sim.partitioned[[2]int{b, a}] = partitioned
}

// SetLogDown makes all log requests fail, or succeed again.
func (sim *Simulation) SetLogDown(down bool) { sim.log.down = down }

// LoseAppendReplies drops the replies to the next n appends. The records are kept.
func (sim *Simulation) LoseAppendReplies(n int) { sim.log.lostReplies = n }

// TrimStream removes all but the newest keep records of a stream.
func (sim *Simulation) TrimStream(stream string, keep int) { sim.log.trim(stream, keep) }

// ReplaceLog starts a new, empty generation of the log.
func (sim *Simulation) ReplaceLog() { sim.log.replace() }

func (sim *Simulation) messageDelay() time.Duration {
	return minMessageDelay + time.Duration(sim.random.Int64N(int64(maxMessageDelay-minMessageDelay)))
}

// nextEntry returns the next running host, in round-robin order, or nil.
func (sim *Simulation) nextEntry() *host {
	for range sim.hosts {
		sim.lastEntry++
		if h := sim.hosts[sim.lastEntry%len(sim.hosts)]; h.up {
			return h
		}
	}
	return nil
}

// deliver delivers a message from a host to the host at an address. If that host
// is down or unreachable, onFailure is called after the dial timeout.
func (sim *Simulation) deliver(from *host, address netip.AddrPort, receive func(*host), onFailure func()) {
	index := int(address.Port()) - basePort
	if index < 0 || index >= len(sim.hosts) {
		return
	}
	to := sim.hosts[index]
	delay := sim.messageDelay()
	if to == from {
		delay = 0
	}
	incarnation := from.id
	if !to.up || sim.partitioned[[2]int{from.domain, to.domain}] {
		if onFailure != nil {
			sim.AfterFunc(dialTimeout, func() {
				if from.up && from.id == incarnation {
					onFailure()
				}
			})
		}
		return
	}
	target := to.id
	sim.AfterFunc(delay, func() {
		if to.up && to.id == target {
			receive(to)
		}
	})
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
