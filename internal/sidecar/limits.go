package sidecar

import (
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
	"github.com/papayapath/papayapath/internal/peer"
	"github.com/papayapath/papayapath/internal/ratelimit"
	"github.com/papayapath/papayapath/pkg/allocator"
	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/quota"
	"github.com/papayapath/papayapath/pkg/rendezvous"
	"github.com/papayapath/papayapath/pkg/routing"
	"github.com/papayapath/papayapath/pkg/term"
)

const (
	// termsTopic is the log topic that holds the terms of the parts of the limits, each in
	// the partition with its number.
	termsTopic = "keyed.quotas"
	// termKey is the key of their records.
	termKey = "term"
	// tokenDelay is the time for which few requests wait for a token. Those that a client
	// sends within a window may get theirs as much later.
	tokenDelay = 100 * time.Millisecond
	// tokenWaitDivisor divides the latency objective to give the longest time that a
	// request waits for a token.
	tokenWaitDivisor = 8
	// defaultTokenWait is the same for a route without a latency objective. It covers
	// requests to a second allocator after the first one has been slow.
	defaultTokenWait = 125 * time.Millisecond
)

// newLimiter returns the limiter of the customers' requests.
func (n *Node) newLimiter() *ratelimit.Limiter {
	bounds := allocator.Bounds{
		Window: n.env.QuotaWindow, Overrun: n.env.QuotaOverrun, Slack: n.env.QuotaSlack, Delay: tokenDelay,
	}
	return ratelimit.New(n.self.Node, n.self.Incarnation, bounds, limiterNetwork{n}, limiterLog{n}, limiterObserver{n},
		ratelimit.WithFirstGeneration(firstGeneration(n.env.FirstStart)))
}

// firstGeneration returns the generation that the log has if the whole system starts for
// the first time, and 0 otherwise: then it is not known.
func firstGeneration(isFirstStart bool) uint64 {
	if isFirstStart {
		return 1
	}
	return 0
}

// applyLimits puts the limits of a configuration in force. The first configuration with
// a limit starts the limiter.
func (n *Node) applyLimits(t *routing.Table) {
	customers := t.Keyring().Customers()
	isLimited := slices.ContainsFunc(customers, (*customer.Customer).IsLimited)
	if isLimited && !n.limiterRuns.Swap(true) {
		go n.limiter.Run(n.ctx)
	}
	if n.limiterRuns.Load() {
		n.limiter.SetCustomers(t.Version(), customers)
	}
}

// takeToken takes a token for a request of a customer with a limit. It comes first, so that
// requests beyond a limit use no place in a window and no retry budget.
func (n *Node) takeToken(req *request) outcome.Reason {
	if req.customer == nil || !req.customer.IsLimited() {
		return outcome.None
	}
	maxWait := defaultTokenWait
	if objective := req.route.Objective(); objective > 0 {
		maxWait = objective / tokenWaitDivisor
	}
	maxWait = min(maxWait, time.Until(req.deadline))
	token, d := n.limiter.Admit(req.customer.Name(), maxWait, req.client.Disconnected)
	switch d {
	case quota.Admitted:
		req.token, req.hasToken = token, true
		return outcome.None
	case quota.Denied:
		return outcome.Rate
	}
	if req.isDisconnected() {
		return outcome.Canceled
	}
	return outcome.Unavailable
}

// returnToken returns the token of a request that has not run and will not run.
func (n *Node) returnToken(req *request) {
	if req.hasToken {
		req.hasToken = false
		n.limiter.Refund(req.token)
	}
}

// limiterNetwork implements ratelimit.Network.
type limiterNetwork struct{ n *Node }

// RequestTokens implements ratelimit.Network.
func (l limiterNetwork) RequestTokens(node string, id uint64, part int, customer string, wanted int) bool {
	link := l.n.mesh.Link(node)
	return link != nil && peer.Send(link, frame.KindTokenRequest,
		frame.TokenRequest{ID: id, Part: part, Customer: customer, Wanted: wanted}, nil)
}

// IsLinked implements ratelimit.Network.
func (l limiterNetwork) IsLinked(node string) bool { return l.n.mesh.Link(node) != nil }

// IsNear implements ratelimit.Network.
func (l limiterNetwork) IsNear(node string) bool {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	e, ok := l.n.registry.Get(node)
	return ok && e.Domain == l.n.self.Domain
}

// AnnounceTerm implements ratelimit.Network.
func (l limiterNetwork) AnnounceTerm(part int, r term.Record, end int64) {
	peer.Broadcast(l.n.mesh.Links(), frame.KindTerm, frame.TermNotice{Part: part, Record: r, End: end})
}

// Rank implements ratelimit.Network.
func (l limiterNetwork) Rank(part int) int {
	links := l.n.mesh.Links()
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.stopping {
		return -1
	}
	candidates := []rendezvous.Candidate{{Node: l.n.self.Node, Domain: l.n.self.Domain}}
	for _, link := range links {
		e, ok := l.n.registry.Get(link.Address())
		if ok && e.Node != l.n.self.Node && !e.Ending && !e.Stopping {
			candidates = append(candidates, rendezvous.Candidate{Node: e.Node, Domain: e.Domain})
		}
	}
	return rendezvous.Rank(candidates, l.n.self.Node, part)
}

// Incarnation implements ratelimit.Network.
func (l limiterNetwork) Incarnation(node string) int64 {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	e, _ := l.n.registry.Get(node)
	return e.Incarnation
}

// limiterLog implements ratelimit.Log.
type limiterLog struct{ n *Node }

// Newest implements ratelimit.Log.
func (l limiterLog) Newest(part int) (r term.Record, end int64, err error) {
	records, end, err := (*l.n.log.Load()).NewestIn(termsTopic, part)
	if err != nil {
		l.n.stats.logFailures.Inc(1)
		return term.Record{}, 0, err
	}
	for _, record := range records {
		if record.Key != termKey {
			continue
		}
		if r, err = decodeMessage[term.Record](record.Value); err != nil {
			// An unreadable record gives no right, but has to be waited out.
			return term.Record{}, end, nil
		}
		return r, end, nil
	}
	return term.Record{}, end, nil
}

// Append implements ratelimit.Log.
func (l limiterLog) Append(part int, r term.Record, at int64) (end int64, result term.Result) {
	value, err := message.Encode(r)
	if err != nil {
		return 0, term.Rejected
	}
	end, err = (*l.n.log.Load()).AppendAt(termsTopic, part, termKey, value, at)
	switch {
	case err == nil:
		return end, term.Done
	case l.n.platform.IsConflict(err):
		return 0, term.Conflict
	}
	l.n.stats.logFailures.Inc(1)
	if l.n.platform.IsRejected(err) {
		return 0, term.Rejected
	}
	return 0, term.Unknown
}

// Generation implements ratelimit.Log.
func (l limiterLog) Generation() uint64 { return (*l.n.log.Load()).Generation() }

// limiterObserver implements ratelimit.Observer.
type limiterObserver struct{ n *Node }

// TermChanged implements ratelimit.Observer.
func (l limiterObserver) TermChanged(part int, holds bool) {
	l.n.journal.Write(event.TermChanged, logrus.Fields{
		"part": part, "holds": holds, "generation": (*l.n.log.Load()).Generation(),
	})
}

// AllocatorChanged implements ratelimit.Observer.
func (l limiterObserver) AllocatorChanged(part int, node string) {
	l.n.journal.WriteSampled(time.Now(), event.AllocatorChanged, func() logrus.Fields {
		return logrus.Fields{"part": part, "node": node}
	})
}

// grantTokens answers a request for tokens.
func (n *Node) grantTokens(l *peer.Link, r frame.TokenRequest) {
	granted, validity, wait := n.limiter.HandleRequest(r.Part, r.Customer, r.Wanted)
	peer.Send(l, frame.KindTokenGrant, frame.TokenGrant{
		ID: r.ID, IsHolder: validity > 0, Granted: granted, ValidityMS: toMilliseconds(validity), WaitMS: toMilliseconds(wait),
	}, nil)
}

// milliseconds returns a number of milliseconds of a message as a duration.
func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// toMilliseconds returns a duration in whole milliseconds. It is rounded down, because
// tokens must not be valid for longer than the allocator reckons with.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// reportLimiter reports the counts of the limiter.
func (n *Node) reportLimiter(line func(name string, v int64)) {
	s := n.limiter.Stats()
	line("limit_requests_admitted", s.Admitted)
	line("limit_requests_denied", s.Denied)
	line("limit_requests_unavailable", s.Unavailable)
	line("limit_tokens_returned", s.Refunded)
	line("limit_token_requests_sent", s.Messages)
	line("limit_tokens_wanted", s.Requested)
	line("limit_tokens_granted", s.Granted)
	line("limit_parts_held", int64(s.Held))
}
