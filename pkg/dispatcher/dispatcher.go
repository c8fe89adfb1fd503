package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/budget"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node/shares/quota"
)

const (
	// maxRedirects bounds the redirects of one attempt.
	maxRedirects = 3
	// rootMemory is how long a resend draws on the budget of its request.
	rootMemory = 10 * time.Minute
	// rootLimit bounds the table of requests. An entry takes about 300 bytes.
	rootLimit = 1 << 16
	// doneLimit bounds the table of finished parent runs.
	doneLimit = 1 << 12
	// defaultDeadline applies to a call that names none.
	defaultDeadline = time.Second
	// transit is the part of the remaining time that is kept back for the way
	// of an offer and its answer, so that a callee's answer to an expired call
	// still arrives in time.
	transit = 2 * time.Millisecond
	// skew is how far the clocks of two instances may differ.
	skew = 200 * time.Millisecond
)

// Contracts looks up the contract in force for a customer.
type Contracts interface {
	Contract(customer string) (*contract.Contract, bool)
}

// Owners looks up the owner of a key of a service and the epoch of the table
// that names it. ok is false if no table is known.
type Owners interface {
	Owner(service, key string) (id instance.ID, epoch uint64, ok bool)
}

// Dispatcher is the state machine of the calls that leave through one node. It
// is not safe for concurrent use.
type Dispatcher struct {
	self      instance.ID
	prefix    string // of the ids of requests that bring none
	scratch   []byte
	domain    string
	random    *rand.Rand
	contracts Contracts
	owners    Owners
	limit     int

	seq      uint64
	calls    map[uint64]*call
	wakes    wakes
	services map[string]*balancer.Balancer
	members  map[instance.ID]*balancer.Balancer
	quotas   map[string]*quota.Quota
	roots    *simplelru.LRU[rootID, *root]
	routes   *simplelru.LRU[message.Route, *route]
	parents  map[message.CallID]*parent
	done     *simplelru.LRU[message.CallID, int]
	nothing  budget.Budget // the budget of children without a known parent
	stats    Stats
}

// panicSize is the text of the panic for a table without room.
const panicSize = "dispatcher: size of a table is below 1"

// Option sets a property of a Dispatcher.
type Option func(*Dispatcher)

// WithRandom sets the source of randomness. Without it, a fixed seed is used.
func WithRandom(r *rand.Rand) Option { return func(d *Dispatcher) { d.random = r } }

// WithContracts sets where contracts are looked up. Without it, every call of
// a caller is refused as forbidden.
func WithContracts(c Contracts) Option { return func(d *Dispatcher) { d.contracts = c } }

// WithOwners sets where owners of keys are looked up. Without it, calls that
// are not repeatable are refused as unavailable.
func WithOwners(o Owners) Option { return func(d *Dispatcher) { d.owners = o } }

// WithDomain sets the failure domain of the own node.
func WithDomain(domain string) Option { return func(d *Dispatcher) { d.domain = domain } }

// WithRootLimit bounds the number of requests whose budget is remembered.
func WithRootLimit(n int) Option { return func(d *Dispatcher) { d.limit = max(n, 1) } }

// New returns the dispatcher of the node self, without servers.
func New(self instance.ID, options ...Option) *Dispatcher {
	d := &Dispatcher{
		self:     self,
		prefix:   self.String() + "/",
		limit:    rootLimit,
		calls:    map[uint64]*call{},
		services: map[string]*balancer.Balancer{},
		members:  map[instance.ID]*balancer.Balancer{},
		quotas:   map[string]*quota.Quota{},
		parents:  map[message.CallID]*parent{},
	}
	for _, o := range options {
		o(d)
	}
	if d.random == nil {
		d.random = rand.New(rand.NewPCG(1, 1))
	}
	d.roots = table[rootID, *root](d.limit)
	d.routes = table[message.Route, *route](maxRoutes)
	d.done = table[message.CallID, int](doneLimit)
	return d
}

// Open returns the number of calls that have not ended.
func (d *Dispatcher) Open() int { return len(d.calls) }

func table[K comparable, V any](size int) *simplelru.LRU[K, V] {
	t, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(panicSize)
	}
	return t
}
