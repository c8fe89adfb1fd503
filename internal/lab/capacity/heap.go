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
	// ownersPerService is 7,200 servers by 1,300 services, rounded up.
	ownersPerService = 6
	responseBodySize = 256 // bytes
)

// measureHeap measures the heap size of each kind of state.
func measureHeap(divisor int) ([]Series, error) {
	servers := divideSizes(divisor, 900, 1800, 3600, 7200)
	keys := divideSizes(divisor, 8_000, 16_000, 32_000, 64_000)
	calls := divideSizes(divisor, 1_000, 2_000, 4_000, 8_000)
	series := []Series{
		newHeapSeries("membership table", "members", servers, membershipTable),
		newHeapSeries("contracts in force", "contracts", divideSizes(divisor, 500, 1000, 2000, 4000), filledDeclarations),
		newHeapSeries("owner tables of 6 owners", "services", divideSizes(divisor, 325, 650, 1300, 2600), ownerTables),
		newHeapSeries("ledger, answers without body", "keys", keys, func(n int) any { return filledLedger(n, 0) }),
		newHeapSeries("ledger, answers of 256 bytes", "keys", keys, func(n int) any { return filledLedger(n, responseBodySize) }),
		newHeapSeries("dispatcher", "servers", servers, func(n int) any { return newDispatcherDriver(n, 1) }),
		newHeapSeries("balancer of one service", "servers", servers, filledBalancer),
		newHeapSeries("open calls of a dispatcher", "calls", calls, openCalls),
		newHeapSeries("open calls of an acceptor", "calls", calls, openExecutions),
	}
	return series, nil
}

func newHeapSeries(name, axis string, sizes []int, build func(n int) any) Series {
	return newSeries(name, axis, "heap bytes", sizes, func(n int) float64 {
		return heapGrowth(func() any { return build(n) })
	})
}

// membershipTable returns the membership of a node that has propagated all joins.
func membershipTable(n int) any {
	m := membership.New(id(measuredNode), rand.New(rand.NewPCG(1, 1)))
	m.Join(start, *newMetadata(measuredNode))
	for i := range n {
		report := message.Member{ID: id(i), Metadata: newMetadata(i)}
		update := &message.MemberUpdate{Members: []message.Member{report}}
		m.Receive(start, id(i), message.Control{MemberUpdate: update}, nil)
	}
	m.Changes()
	for now := start; now.Before(start.Add(settleTime)); now = now.Add(tickInterval) {
		acknowledge(m, now, m.Tick(now, nil))
	}
	return m
}

// acknowledge answers the probes in sends.
func acknowledge(m *membership.Membership, now time.Time, sends []membership.Send) {
	for _, s := range sends {
		if p := s.Control.Probe; p != nil {
			m.Receive(now, s.To, message.Control{Ack: &message.Ack{Seq: p.Seq, Target: s.To}}, nil)
		}
	}
}

// ownerTables returns the owner tables of n services, as decoded by a node.
func ownerTables(n int) any {
	tables := make(map[string]*ownership.Table, n)
	for i := range n {
		record := message.OwnerRecord{ID: "table-" + strconv.Itoa(i), Service: serviceName(i), Appender: id(i)}
		for j := range ownersPerService {
			record.Owners = append(record.Owners, id(i*ownersPerService+j))
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
		o := &message.Offer{Key: newKey(start, i), Customer: "customer", Content: uint64(i)}
		answer := &message.Answer{Outcome: outcome.Complete, Status: 200}
		l.Done(l.Begin(o, start), answer, make([]byte, body))
	}
	return l
}

func newKey(issued time.Time, n int) string { return message.KeyAt(issued, []byte(strconv.Itoa(n))) }

func filledBalancer(n int) any {
	b := balancer.New()
	for i := range n {
		b.Join(id(i), domainName(i))
	}
	return b
}

// openCalls returns a dispatcher with 100 servers and n open calls.
func openCalls(n int) any {
	d := newDispatcherDriver(100, 1)
	for range n {
		d.arrive()
	}
	return d
}

// openExecutions returns an acceptor with n executions that wait for child calls.
func openExecutions(n int) any { return newAcceptorDriver(n) }
