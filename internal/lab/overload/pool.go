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
	// repeated calls to its server.
	share *retryshare.Share
	gate  *demand.Gate
}

// attempts counts the offers of a call.
type attempts struct {
	offers     int  // that servers did not shed
	resends    int  // after servers have shed it
	credit     int  // requests and calls that the server is told with the offer
	isRoot     bool // a request of a client
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
		node:  n,
		share: retryshare.New(now, retryBudgetRatio, retryBudgetSlack, retryBudgetWindow, retryshare.WithoutPredecessor()),
		gate:  demand.New(retryBudgetRatio, retryBudgetSlack/float64(nodes), retryBudgetWindow),
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

// accept reports whether the retry budget covers an offer, and counts the offer.
func (p *pool) accept(now time.Time, c *call) bool {
	p.share.Add(now, float64(c.credit))
	if !c.isResent {
		return true
	}
	if !p.share.Covers(now, retryshare.ResendPart(c.priority.Level()), 1) {
		return false
	}
	p.share.Spend(now, 1)
	return true
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
