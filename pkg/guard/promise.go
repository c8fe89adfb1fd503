package guard

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// promiseAfter is the age of the last read at which promises are asked
	// for: late enough that a healthy log causes none, early enough that the
	// lease doesn't lapse.
	promiseAfter = lease.Duration / 2
	// promiseInterval is the time between two rounds of requests.
	promiseInterval = lease.Duration / 8
	// maxRounds is the number of rounds whose answers are still accepted. It
	// covers the lease duration.
	maxRounds = 8
)

// promises is the state of promises asked for and given.
type promises struct {
	rounds [maxRounds]round
	last   uint64    // number of the newest round
	asked  time.Time // when it was sent
	hold   time.Time // no table change starts before this time
}

// round is one set of requests. Its zero value stands for none.
type round struct {
	number uint64
	sent   time.Time
}

// forget drops the rounds of an epoch that is over. Promises that were given
// keep their time.
func (p *promises) forget() {
	p.rounds = [maxRounds]round{}
	p.asked = time.Time{}
}

func (p *promises) begin(now time.Time) uint64 {
	p.last++
	p.asked = now
	p.rounds[p.last%maxRounds] = round{number: p.last, sent: now}
	return p.last
}

func (p *promises) sent(number uint64) (time.Time, bool) {
	r := p.rounds[number%maxRounds]
	return r.sent, number != 0 && r.number == number
}

// PromiseRequest answers the request of another owner.
func (g *Guard) PromiseRequest(now time.Time, r message.PromiseRequest) message.Promise {
	g.hear(now, r.Epoch)
	p := message.Promise{
		Service: g.service, Epoch: g.table.Epoch(), From: g.self, To: r.From,
		Round: r.Round, Duration: min(r.Duration, lease.Duration),
	}
	p.Granted = p.Duration > 0 && g.grants(now, r)
	if p.Granted {
		g.promises.keep(now.Add(lease.Stretch(p.Duration)))
	}
	return p
}

func (p *promises) keep(until time.Time) {
	if until.After(p.hold) {
		p.hold = until
	}
}

// grants reports whether a promise can be given. A change that is in flight
// or in doubt forbids it. So does a change that this owner wants to make on a
// log that it can read: a requester that can't reach the log would otherwise
// keep the table from ever changing.
func (g *Guard) grants(now time.Time, r message.PromiseRequest) bool {
	_, replaced := replacedBy(g.members.ids, r.From)
	return r.To == g.self && r.Service == g.service &&
		r.Epoch == g.table.Epoch() && r.Table == g.table.ID() &&
		g.table.Owners().Contains(r.From) && !replaced &&
		g.steady() && !(g.fresh(now) && g.change.differs)
}

// steady reports whether this owner can vouch for the table: it has read the
// log since its start and no change of its own may still land. A record in
// doubt that names the same owners is harmless: whoever makes the next change
// from it is an owner in force, knows its epoch and gives no promise for the
// one before.
func (g *Guard) steady() bool {
	return g.isOwner() && g.reads.once && !g.superseded && !g.change.moves()
}

// Promise takes the answer of another owner.
func (g *Guard) Promise(now time.Time, p message.Promise) {
	g.hear(now, p.Epoch)
	sent, ok := g.promises.sent(p.Round)
	if !ok || !p.Granted || p.To != g.self || p.Service != g.service || !g.steady() {
		return
	}
	short := max(lease.Duration-p.Duration, 0)
	g.lease.Promise(p.Epoch, p.From, sent.Add(-short))
}

// askPromises adds a round of requests while the log gives no reads. An only
// owner that has outlived others needs the log: it may be the one that is cut
// off, and its newer incarnation may have taken its place.
func (g *Guard) askPromises(now time.Time) {
	if !g.steady() || now.Before(g.reads.start.Add(promiseAfter)) ||
		now.Before(g.promises.asked.Add(promiseInterval)) {
		return
	}
	number := g.promises.begin(now)
	if g.alone {
		g.lease.Alone(now)
	}
	for _, id := range g.others(g.table.Owners()) {
		g.effects = append(g.effects, Effect{
			Kind: AskPromise, To: id, Request: g.request(id, number),
		})
	}
}

func (g *Guard) request(to instance.ID, number uint64) message.PromiseRequest {
	return message.PromiseRequest{
		Service: g.service, Epoch: g.table.Epoch(), Table: g.table.ID(),
		From: g.self, To: to, Round: number, Duration: lease.Duration,
	}
}

// replacedBy returns the newer incarnation of id among ids.
func replacedBy(ids []instance.ID, id instance.ID) (instance.ID, bool) {
	for _, other := range ids {
		if other.Replaces(id) {
			return other, true
		}
	}
	return instance.ID{}, false
}
