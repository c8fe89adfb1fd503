package capacity

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/ledger"
	"github.com/papayapath/papayapath/pkg/membership"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

const (
	// owners of a service: 7,200 servers of 1,300 services, rounded up.
	ownersOf = 6
	// answerBody is the size of an answer that a ledger keeps, in bytes.
	answerBody = 256
)

// heap measures the bytes of each kind of state.
func heap(scale int) ([]Series, error) {
	servers := divide(scale, 900, 1800, 3600, 7200)
	keys := divide(scale, 8_000, 16_000, 32_000, 64_000)
	calls := divide(scale, 1_000, 2_000, 4_000, 8_000)
	series := []Series{
		newHeap("membership table", "members", servers, membershipTable),
		newHeap("contracts in force", "contracts", divide(scale, 500, 1000, 2000, 4000), declared),
		newHeap("owner tables of 6 owners", "services", divide(scale, 325, 650, 1300, 2600), ownerTables),
		newHeap("ledger, answers without body", "keys", keys, func(n int) any { return filledLedger(n, 0) }),
		newHeap("ledger, answers of 256 bytes", "keys", keys, func(n int) any { return filledLedger(n, answerBody) }),
		newHeap("dispatcher", "servers", servers, func(n int) any { return newCaller(n, 1) }),
		newHeap("balancer of one service", "servers", servers, oneBalancer),
		newHeap("open calls of a dispatcher", "calls", calls, openCalls),
		newHeap("open calls of an acceptor", "calls", calls, openRuns),
	}
	return series, nil
}

func newHeap(name, axis string, sizes []int, build func(n int) any) Series {
	return newSeries(name, axis, "heap bytes", sizes, func(n int) float64 {
		return heapOf(func() any { return build(n) })
	})
}

// membershipTable returns the table of a node that has passed on all joins.
func membershipTable(n int) any {
	m := membership.New(id(self), rand.New(rand.NewPCG(1, 1)))
	m.Join(start, *facts(self))
	for i := range n {
		report := message.Member{ID: id(i), Metadata: facts(i)}
		update := &message.MemberUpdate{Members: []message.Member{report}}
		m.Receive(start, id(i), message.Control{MemberUpdate: update}, nil)
	}
	m.Changes()
	for now := start; now.Before(start.Add(settling)); now = now.Add(step) {
		acknowledge(m, now, m.Tick(now, nil))
	}
	return m
}

// acknowledge answers the probes of m.
func acknowledge(m *membership.Membership, now time.Time, sends []membership.Send) {
	for _, s := range sends {
		if p := s.Control.Probe; p != nil {
			m.Receive(now, s.To, message.Control{Ack: &message.Ack{Seq: p.Seq, Target: s.To}}, nil)
		}
	}
}

// ownerTables returns the tables of n services as a node decodes them.
func ownerTables(n int) any {
	tables := make(map[string]*ownership.Table, n)
	for i := range n {
		record := message.OwnerRecord{ID: "table-" + strconv.Itoa(i), Service: serviceName(i), Appender: id(i)}
		for j := range ownersOf {
			record.Owners = append(record.Owners, id(i*ownersOf+j))
		}
		t := ownership.New(record.Service)
		t.Apply(ownership.Batch{Generation: 1, Next: 1, End: 1, Entries: []ownership.Entry{{Record: record}}})
		tables[record.Service] = t
	}
	return tables
}

func filledLedger(n, body int) any {
	l := ledger.New()
	for i := range n {
		o := &message.Offer{Key: keyAt(start, i), Customer: "customer", Content: uint64(i)}
		answer := &message.Answer{Outcome: outcome.Complete, Status: 200}
		l.Done(l.Begin(o, start), answer, make([]byte, body))
	}
	return l
}

func keyAt(issued time.Time, n int) string { return message.KeyAt(issued, []byte(strconv.Itoa(n))) }

func oneBalancer(n int) any {
	b := balancer.New()
	for i := range n {
		b.Join(id(i), domainName(i))
	}
	return b
}

// openCalls returns a dispatcher of 100 servers with n open calls.
func openCalls(n int) any {
	c := newCaller(100, 1)
	for range n {
		c.arrive()
	}
	return c
}

// openRuns returns an acceptor with n runs that wait for child calls.
func openRuns(n int) any { return newCallee(n) }
