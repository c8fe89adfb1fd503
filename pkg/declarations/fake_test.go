package declarations_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

const retention = time.Hour

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// fakeLog is one stream of a log that forgets records after the retention.
type fakeLog struct {
	generation uint64
	first      int64
	records    []stream.Record
	times      []time.Time
}

func newLog() *fakeLog { return &fakeLog{generation: 1} }

func (l *fakeLog) append(now time.Time, id string, data []byte) stream.Position {
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, stream.Record{Offset: offset, ID: id, Data: data})
	l.times = append(l.times, now)
	return stream.At(l.generation, offset)
}

func (l *fakeLog) trim(now time.Time) {
	for len(l.records) > 0 && now.Sub(l.times[0]) >= retention {
		l.records, l.times = l.records[1:], l.times[1:]
		l.first++
	}
}

// replace loses all records.
func (l *fakeLog) replace() { *l = fakeLog{generation: l.generation + 1} }

func (l *fakeLog) read(from int64, limit int) stream.Batch {
	end := l.first + int64(len(l.records))
	b := stream.Batch{Generation: l.generation, First: l.first, End: end}
	for o := max(from, l.first); o < end && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, l.records[o-l.first])
	}
	return b
}

func id(n int) instance.ID {
	return instance.New(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), uint64(n))
}

func newState(n int) *declarations.State {
	random := rand.New(rand.NewPCG(uint64(n), 1))
	return declarations.New(id(n), random, declarations.WithRetention(retention))
}

// terms returns a contract that is told apart from others by its rate.
func terms(customer string, rate int) contract.Document {
	return contract.Document{
		Customer: customer, Rate: float64(rate), Burst: 10, Retries: 2, Window: contract.Duration(time.Hour),
		Calls: []contract.Call{{
			Name: "browse", Service: "catalogue", Path: "/", Importance: importance.Normal,
			Repeat: true, Deadline: contract.Duration(time.Second),
		}},
	}
}

func encode(t require.TestingT, r message.DeclarationRecord) []byte {
	data, err := message.Encode(r)
	require.NoError(t, err)
	return data
}

func change(t require.TestingT, base stream.Position, operator string, contracts []contract.Document, removed ...string) []byte {
	return encode(t, message.DeclarationRecord{Change: &message.Change{
		Base: base, Operator: operator, Contracts: contracts, Removed: removed,
	}})
}

// rateOf returns the rate in force for a customer, or 0.
func rateOf(s *declarations.State, customer string) int {
	c, ok := s.Contract(customer)
	if !ok {
		return 0
	}
	return int(c.Rate())
}

// follow reads the log to its end.
func follow(now time.Time, s *declarations.State, l *fakeLog) {
	for {
		before := s.From()
		s.Log(now, l.read(before, 3))
		if s.From() == before && before >= l.first {
			return
		}
	}
}

// exchange delivers messages, and the answers to them, between states.
func exchange(now time.Time, states map[instance.ID]*declarations.State, from instance.ID, sends []declarations.Send) {
	for i := 0; i < len(sends) && i < 100; i++ {
		s := sends[i]
		if to := states[s.To]; to != nil {
			answers := to.Receive(now, from, s.Control, nil)
			exchange(now, states, s.To, answers)
		}
	}
}

func errorOf(t *testing.T, s *declarations.State, record string) error {
	t.Helper()
	for _, r := range s.Results() {
		if r.Record == record {
			return r.Err
		}
	}
	require.Fail(t, fmt.Sprintf("no result of record %s", record))
	return nil
}
