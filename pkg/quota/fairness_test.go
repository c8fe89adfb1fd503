package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/term"
)

const (
	entryNodes = 69
	domains    = 3
	customers  = 76
	maxLimit   = 757  // requests a second of the largest customer
	exponent   = 1.16 // with it the smallest customer has 5 requests a second
	// tolerance is the part of the requests of a customer within its limit that may be
	// refused.
	tolerance = 0.01
)

// load is the load of thistlegate: customers of Zipf sizes send requests to the nodes of
// failure domains of unequal demand. Poisson arrivals at random nodes, 1 to 3 ms for
// each message, and an allocator in each of the first four nodes.
type load struct {
	*world
	limits  []float64
	rates   []float64 // requests a second of each customer
	weights [domains]float64
	lost    int // node that is lost, or -1
}

// newLoad returns a load at 0.6 of the limits, some seconds after the start.
func newLoad() *load {
	l := &load{world: newWorld(1, entryNodes, customers), weights: [domains]float64{0.5, 0.3, 0.2}, lost: -1}
	for c := range customers {
		l.limits = append(l.limits, maxLimit*math.Pow(float64(c+1), -exponent))
	}
	for i, n := range l.nodes {
		n.domain = i % domains
	}
	for part := range term.Parts {
		a := l.nodes[part].allocator
		for c, r := range l.limits {
			a.SetLimit(origin, name(c), r, r)
		}
		a.Start(origin, part)
	}
	l.holder = func(_ *node, part int) (*node, bool) { return l.nodes[part], true }
	l.transit = func(_, to *node) (time.Duration, bool) {
		return time.Millisecond + time.Duration(l.random.Int64N(int64(2*time.Millisecond))), to.id != l.lost
	}
	l.rates = make([]float64, customers)
	l.setRates(0.6)
	for c := range customers {
		l.arrive(c)
	}
	l.run(5 * time.Second)
	return l
}

// setRates lets all customers send at a part of their limits.
func (l *load) setRates(part float64) {
	for c := range l.rates {
		l.rates[c] = part * l.limits[c]
	}
}

// arrive plays the next request of a customer, and those after it.
func (l *load) arrive(c int) {
	l.after(time.Duration(l.random.ExpFloat64()/l.rates[c]*float64(time.Second)), func() {
		domain, x := 0, l.random.Float64()
		for domain < domains-1 && x >= l.weights[domain] {
			x -= l.weights[domain]
			domain++
		}
		if n := domain + domains*l.random.IntN(entryNodes/domains); n != l.lost {
			l.nodes[n].take(c)
		}
		l.arrive(c)
	})
}

// requireServed checks that few requests of large, middle and small customers are
// refused in some time.
func (l *load) requireServed(t *testing.T, label string, d time.Duration) {
	clear(l.tallies)
	l.run(l.now + d)
	for _, class := range [][2]int{{0, 4}, {4, 20}, {20, customers}} {
		sent, lost, messages := 0, 0, 0
		for _, s := range l.tallies[class[0]:class[1]] {
			sent += s.sent
			lost += s.lost()
			messages += s.messages
		}
		t.Logf("%s, customers %v: %d requests, %.3f%% refused, %.2f messages for each",
			label, class, sent, 100*float64(lost)/float64(sent), float64(messages)/float64(sent))
		require.Less(t, float64(lost), tolerance*float64(sent), "%s, customers %v", label, class)
	}
}

// Guards against customers within their limits that are refused: in undisturbed
// operation, in the 2 s after their demand has moved to another failure domain, and at
// their usual rate with an allocator that does not answer.
func TestCustomersWithinTheirLimits(t *testing.T) {
	l := newLoad()
	l.setRates(0.9)
	l.run(l.now + 2*time.Second)
	l.requireServed(t, "0.9 of the limit", 20*time.Second)
	l.weights = [domains]float64{0.2, 0.3, 0.5}
	l.requireServed(t, "after a shift", 2*time.Second)
	l.requireServed(t, "later", 10*time.Second)
	for part := range term.Parts {
		l = newLoad()
		l.lost = part
		l.requireServed(t, "allocator lost", 2*time.Second)
		l.requireServed(t, "later", 8*time.Second)
	}
}

// Guards against a customer far above its limit that gets less than the limit, or more
// than the bound, that takes from others, or that causes messages without bound.
func TestCustomerAboveItsLimit(t *testing.T) {
	const (
		excess = 6
		// maxMessages is the number of requests for tokens in a second that one customer
		// may cause: 100 to each allocator, and what its tokens need.
		maxMessages = 400
		seconds     = 20
	)
	for name, c := range map[string]int{"largest": 0, "middle": 10, "smallest": customers - 1} {
		t.Run(name, func(t *testing.T) {
			l := newLoad()
			l.rates[c] *= excess
			l.run(l.now + 5*time.Second)
			clear(l.tallies)
			l.run(l.now + seconds*time.Second)
			s := l.tallies[c]
			rate := float64(len(s.admitted)) / seconds
			messages := float64(s.messages) / seconds
			t.Logf("limit %.1f/s, sent %.1f/s, admitted %.1f/s, %.1f messages/s, most in 5 s %d",
				l.limits[c], float64(s.sent)/seconds, rate, messages, most(s.admitted, 5*time.Second))
			require.Greater(t, rate, 0.95*l.limits[c])
			require.Less(t, messages, l.limits[c]+maxMessages)
			require.LessOrEqual(t, float64(most(s.admitted, 5*time.Second)), 6*l.limits[c]*1.1+20)
			require.Less(t, float64(s.unavailable), tolerance*float64(s.sent))
			for other, s := range l.tallies {
				if other != c {
					require.LessOrEqual(t, float64(s.lost()), math.Ceil(tolerance*float64(s.sent)), "customer %d", other)
				}
			}
		})
	}
}

// Guards against a customer that causes a message for each refused request, and against
// a wait that keeps it from tokens that are there.
func TestMessagesOfRefusedRequests(t *testing.T) {
	l := newLoad()
	const c, limit = customers - 1, 5.0
	l.rates[c] = 200 * limit
	l.run(l.now + 5*time.Second)
	clear(l.tallies)
	l.run(l.now + 10*time.Second)
	s := l.tallies[c]
	t.Logf("sent %d/s, admitted %.1f/s, %d messages/s", s.sent/10, float64(len(s.admitted))/10, s.messages/10)
	require.Less(t, s.messages, s.sent/4)
	require.Greater(t, float64(len(s.admitted)), 0.95*10*limit)
}
