package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/admission"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/limiter"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quarantine"
	"github.com/papayapath/papayapath/pkg/queue"
)

// defaultPatience is how long a call below Critical waits for its turn. After
// that another server of the service is the better choice.
const defaultPatience = 200 * time.Millisecond

// Acceptor decides about the calls that are offered to one backend server. An
// offer ends with exactly one action.Answer. The answer says "not run" only if
// there was no action.Run for the offer, or if the adapter proves in Done that
// the backend server got nothing of it.
//
// An Acceptor keeps the *message.Offer of a call until its answer and brings
// its Remaining and KeyAge up to date when the call runs. It is not safe for
// concurrent use.
type Acceptor struct {
	self         instance.ID
	service      string // empty without a backend server
	draining     bool
	guard        Guard
	quarantine   *quarantine.Quarantine
	limiter      *limiter.Limiter
	admission    *admission.Controller
	entries      entries
	queue        *queue.Queue[*entry] // admitted, waiting for their turn
	suspects     *queue.Queue[*entry] // waiting to run alone
	blocked      *queue.Queue[*entry] // waiting for the run of the same key
	running      *queue.Queue[*entry] // handed over
	patience     time.Duration
	lowerStarted time.Time // when a call below Critical was last started
	isolation    isolation
	casualties   casualties
	crashes      int // crashes of the own backend server
	routes       routes
	answers      answers
	scratch      []*entry
	counters     counters
}

// New returns the acceptor of the node self, without a backend server.
func New(self instance.ID, options ...Option) *Acceptor {
	a := &Acceptor{
		self:      self,
		limiter:   limiter.New(),
		admission: admission.New(),
		entries:   newEntries(),
		queue:     queue.New[*entry](),
		suspects:  queue.New[*entry](),
		blocked:   queue.New[*entry](),
		running:   queue.New[*entry](),
		patience:  defaultPatience,
	}
	for _, o := range options {
		o(a)
	}
	if a.quarantine == nil {
		a.quarantine = quarantine.New()
	}
	return a
}

// Self returns the node that the acceptor belongs to.
func (a *Acceptor) Self() instance.ID { return a.self }

// Announce records that the own backend server serves service and says that
// it runs up to slots calls at once. A repeated announcement is a heartbeat.
// A change of service has to be preceded by Withdraw.
func (a *Acceptor) Announce(now time.Time, service string, slots int) {
	if a.service == "" {
		a.limiter.Reset(now)
		a.admission.Reset(now)
		a.service = service
	}
	a.limiter.SetMaxInFlight(max(slots, 1))
}

// Drain refuses new offers from now on. Calls that run or wait are not cut.
// Withdraw ends the draining.
func (a *Acceptor) Drain(now time.Time, out []action.Action) []action.Action {
	a.draining = true
	return a.dispatch(now, out)
}

// Idle reports whether no call runs or waits.
func (a *Acceptor) Idle() bool {
	return a.running.Len()+a.queue.Len()+a.suspects.Len()+a.blocked.Len() == 0
}

// InFlight returns the offer of a call that runs on the own backend server,
// for the child calls that it makes. The offer is valid until the run ends.
func (a *Acceptor) InFlight(call message.CallID) (*message.Offer, bool) {
	e := a.entries.newestRun(call)
	if e == nil {
		return nil, false
	}
	return e.offer, true
}

// Recycle returns an answer that its adapter has sent and no longer needs.
// Without it each answer is newly allocated.
func (a *Acceptor) Recycle(answer *message.Answer) { a.answers.give(answer) }

// adapt brings the limit and the threshold up to date.
func (a *Acceptor) adapt(now time.Time) {
	a.limiter.Tick(now)
	a.admission.Adapt(now, a.queue.Len())
}
