package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node/shares/quota"
)

// callsPerRound is the number of timed calls in a round.
const callsPerRound = 20_000

// measureDecisions measures the time of the decisions on the call path.
func measureDecisions(divisor int) ([]Series, error) {
	count := max(callsPerRound/divisor, 1)
	customers := divideSizes(divisor, 1, 100, 1000, 4000)
	refused := false
	newTimeSeries := func(name, axis string, sizes []int, prepare func(n int) func() bool) Series {
		return newSeries(name, axis, "ns", sizes, func(n int) float64 {
			call := prepare(n)
			return nanosPerCall(count, func() { refused = !call() || refused })
		})
	}
	series := []Series{
		newTimeSeries("dispatcher, arrive and answer", "servers", divideSizes(divisor, 900, 1800, 3600, 7200),
			func(n int) func() bool { return newDispatcherDriver(n, 1000/divisor+1).call }),
		newTimeSeries("dispatcher, arrive and answer", "customers", customers,
			func(n int) func() bool { return newDispatcherDriver(targetServers/divisor, n).call }),
		newTimeSeries("acceptor, offer and done", "open calls", divideSizes(divisor, 10, 100, 1000, 4000),
			func(n int) func() bool { return newAcceptorDriver(n).call }),
		newTimeSeries("guard, new key and done", "keys", divideSizes(divisor, 1, 8_000, 16_000, 32_000), newKeyCalls(count)),
		newTimeSeries("quota, allow", "customers", customers, quotaCalls),
	}
	if refused {
		return nil, &RefusalError{}
	}
	return series, nil
}

// newKeyCalls returns a constructor of functions that offer one new key each to
// a guard. The offers are created in advance to exclude them from the timing.
func newKeyCalls(count int) func(n int) func() bool {
	return func(n int) func() bool {
		d := newGuardDriver(n)
		offers := make([]*message.Offer, 0, timingRounds*count)
		for i := range timingRounds * count {
			offers = append(offers, &message.Offer{
				Service: serviceName(0), Customer: customerName(0), Key: newKey(d.now, -1-i),
				Remaining: 100 * time.Millisecond, Epoch: d.epoch(),
			})
		}
		next := 0
		return func() bool {
			next++
			return d.run(offers[next-1])
		}
	}
}

// quotaCalls returns a function that queries the quotas of customers in turn.
func quotaCalls(customers int) func() bool {
	quotas := make(map[string]*quota.Quota, customers)
	names := make([]string, customers)
	for i := range names {
		names[i] = customerName(i)
		quotas[names[i]] = quota.New(start, names[i], 1e6, 1_000_000)
	}
	now, next := start, 0
	return func() bool {
		now = now.Add(callInterval)
		next++
		return quotas[names[next%customers]].Allow(now)
	}
}

// RefusalError reports that a timed call was refused, so that the timing does not
// cover the decision to execute it.
type RefusalError struct{}

// Error implements error.
func (*RefusalError) Error() string { return "a timed call was refused" }
