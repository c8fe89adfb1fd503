package overload

import (
	"time"

	"github.com/papayapath/papayapath/internal/lab/optimum"
	"github.com/papayapath/papayapath/pkg/demand"
	"github.com/papayapath/papayapath/pkg/retryshare"
	"github.com/papayapath/papayapath/pkg/shedding"
)

// maxResends is the maximum number of times that a call is sent again because servers
// shed it. If they shed 0.6, one call in 3,500 needs more.
const maxResends = 16

// pool is the part of a node that is present only if the pool is in force.
type pool struct {
	node  *node
	meter shedding.Meter
	// share is the part of the retry budget of the own service that the node spends on
	// repeated calls to its server, and callShares are the parts of the budgets of other
	// services that the calls of the server bring in.
	share      *retryshare.Share
	callShares map[string]*retryshare.Share
	gate       *demand.Gate
}

// attempts counts the offers of a call.
type attempts struct {
	offers     int  // that servers did not shed
	resends    int  // after servers have shed it
	credit     int  // requests and calls that the server is told with the offer
	isRoot     bool // a request of a client
	isOfRepeat bool // the run that makes the call is a repeat
	isResent   bool // a server has shed the call before
	isUnfunded bool // a node refused to send the call again for want of retry budget
}

// rate is the part of its requests that a service sheds.
type rate struct {
	service string
	value   float64
}

func newPool(n *node, v optimum.Service) *pool {
	nodes := 0
	for _, s := range n.simulation.scenario.Services {
		nodes += s.Servers
	}
	now := n.simulation.Now()
	p := &pool{
		node:       n,
		share:      retryshare.New(now, retryBudgetRatio, retryBudgetSlack, retryBudgetWindow, retryshare.WithoutPredecessor()),
		callShares: make(map[string]*retryshare.Share),
		gate:       demand.New(retryBudgetRatio, retryBudgetSlack/float64(nodes), retryBudgetWindow),
	}
	p.share.SetServers(now, v.Servers)
	return p
}

// rates returns what the answer to a run tells of services that shed.
func (p *pool) rates() []rate {
	if p == nil {
		return nil
	}
	var all []rate
	if v := p.meter.Rate(); v > 0 {
		all = append(all, rate{p.node.service, v})
	}
	p.gate.Rates(p.node.simulation.Now(), func(service string, v float64) {
		if service != p.node.service {
			all = append(all, rate{service, v})
		}
	})
	return all
}

// count records a call that the node is about to send.
func (p *pool) count(now time.Time, c *call) {
	if c.isOfRepeat {
		return
	}
	p.gate.Count(now, c.class.Service)
	if !c.isRoot {
		p.callShare(now, c.class.Service).Add(now, 1)
	}
}

// accept reports whether the retry budget covers an offer, and counts the offer.
func (p *pool) accept(now time.Time, r *run) bool {
	c := r.call
	p.share.Add(now, float64(c.credit))
	switch {
	case c.isResent:
		if !p.share.Covers(now, retryshare.ResendPart(c.priority.Level()), 1) || !p.takeCalls(now, r) {
			return false
		}
	case c.isOfRepeat:
		if !p.share.Covers(now, retryshare.Whole, 1) {
			return false
		}
	default:
		return true
	}
	p.share.Spend(now, 1)
	return true
}

// takeCalls reports whether the requests of the called services cover the calls of a
// repeated run, and charges them.
func (p *pool) takeCalls(now time.Time, r *run) bool {
	calls := make(map[string]float64)
	for _, child := range r.call.class.calls {
		calls[child.Service]++
	}
	for service, n := range calls {
		if !p.callShare(now, service).Covers(now, retryshare.Whole, n) {
			return false
		}
	}
	for service, n := range calls {
		p.callShare(now, service).Spend(now, n)
	}
	r.charged, r.chargedAt = calls, now
	return true
}

// returnCalls returns the calls that a run was charged, which the server has shed.
func (p *pool) returnCalls(now time.Time, r *run) {
	for service, n := range r.charged {
		p.callShare(now, service).Return(now, r.chargedAt, n)
	}
	r.charged = nil
}

func (p *pool) callShare(now time.Time, service string) *retryshare.Share {
	s := p.callShares[service]
	if s == nil {
		s = retryshare.New(now, retryBudgetRatio, 0, retryBudgetWindow)
		p.callShares[service] = s
	}
	return s
}

// admits reports whether a new request is begun.
func (p *pool) admits(now time.Time, c *class) bool {
	for _, f := range c.fanout {
		if !p.gate.Allows(now, f.service, c.rank()) {
			return false
		}
	}
	return true
}

// begin records the admission of a request.
func (p *pool) begin(now time.Time, c *class) {
	p.gate.BeginOwn(now, c.Service)
	for _, f := range c.fanout {
		p.gate.Begin(now, f.service, f.calls)
	}
}

// learn takes what an answer to an offer of a call carries.
func (p *pool) learn(c *call, from string, a answer) {
	if a.kind != answered && a.kind != shed {
		return
	}
	now := p.node.simulation.Now()
	value := func(service string) float64 {
		for _, r := range a.rates {
			if r.service == service {
				return r.value
			}
		}
		return 0
	}
	p.gate.LearnServer(now, c.class.Service, from, value(c.class.Service), p.node.simulation.servers(c.class.Service))
	if a.kind == answered {
		for _, f := range c.class.fanout {
			p.gate.Learn(now, f.service, value(f.service))
		}
	}
}

// resend sends a call again that a server has shed, to the same server if need be.
func (n *node) resend(c *call) {
	now := n.simulation.Now()
	c.isResent = true
	n.allowance(c.class.Service).Spend(now, 1)
	if c.isRoot && !n.pool.gate.AllowsRetry(now, c.class.Service, c.priority.Rank(false)) {
		c.finish(failed)
		return
	}
	if n.choose(now, c) == "" {
		c.tried = c.tried[:0]
	}
	c.offers--
	if c.resends++; c.resends > maxResends {
		c.finish(failed)
		return
	}
	n.send(c)
}
