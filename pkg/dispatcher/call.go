package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/budget"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// call is the record of one call, from its arrival to its end. It is one
// allocation; only the offers of later attempts are separate, because an
// adapter may still be sending the first one.
type call struct {
	first   message.Offer
	refusal message.Answer
	offer   *message.Offer // current attempt

	budget    *budget.Budget
	allotment int // retries that the current attempt took along
	root      *root
	own       root // root of a request that can't be sent again
	parent    *parent
	run       int   // attempt of the parent that made the call
	previous  *call // older child of the same parent
	next      *call // younger child of the same parent

	route     *route
	service   *balancer.Balancer
	server    *balancer.Server // of the current attempt; nil if the balancer does not know it
	to        instance.ID
	tried     [maxRedirects + 2]*balancer.Server
	tries     int // entries of tried
	redirects int // of the current attempt
	crashes   int // attempts at which the backend server crashed

	resend  bool // an earlier send of the same request may have run
	proved  bool // no attempt of this call has run
	passed  bool // uses the one repeated child call that is free for its parent
	paid    bool // took one from the budget for being a repetition
	unknown bool // an earlier attempt may have run
	vouched bool // the owner of the key says that it has not run

	deadline time.Time
	issued   time.Time // of the key; zero if unknown
	sent     time.Time // of the current attempt
	wake     time.Time
	slot     int // index in wakes
}

// answer returns the refusal that ends the call without an answer of a
// server. Its outcome is NotRun only if nothing of the request may have run.
//
// A key may have run at an earlier send through another node, of which only
// its owner knows. A refusal that no owner gave is therefore unknown, unless
// the call is not allowed at all.
func (c *call) answer(o outcome.Outcome, reason outcome.Reason) *message.Answer {
	if o == outcome.NotRun && !c.first.Repeatable && c.first.Key != "" && !c.vouched && !barred(reason) {
		o = outcome.Unknown
	}
	c.proved = o == outcome.NotRun && !c.unknown
	if c.proved && c.resend || c.unknown {
		o = outcome.Unknown
	}
	c.refusal = message.Answer{
		Call:    c.first.Call,
		Attempt: c.attempt(),
		Outcome: o,
		Reason:  reason,
	}
	return &c.refusal
}

func (c *call) attempt() int {
	if c.offer == nil {
		return 0
	}
	return c.offer.Attempt
}

// current reports whether an attempt at a node is the one that counts.
func (c *call) current(from instance.ID, attempt int) bool {
	return c.offer != nil && c.to == from && c.offer.Attempt == attempt
}

func (c *call) exclude(s *balancer.Server) {
	if s != nil && c.tries < len(c.tried) {
		c.tried[c.tries] = s
		c.tries++
	}
}

func (c *call) excluded() []*balancer.Server { return c.tried[:c.tries] }

// barred reports whether a call is refused whatever its key. No earlier send
// of it can have run.
func barred(reason outcome.Reason) bool {
	return reason == outcome.Malformed || reason == outcome.TooLarge
}
