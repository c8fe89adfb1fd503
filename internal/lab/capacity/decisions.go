package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/quota"
)

// steps is the number of decisions in one round of a timing.
const steps = 20_000

// decisions measures the time of the decisions on the path of a call.
func decisions(scale int) ([]Series, error) {
	count := max(steps/scale, 1)
	customers := divide(scale, 1, 100, 1000, 4000)
	refused := false
	times := func(name, axis string, sizes []int, prepare func(n int) func() bool) Series {
		return newSeries(name, axis, "ns", sizes, func(n int) float64 {
			call := prepare(n)
			return timeOf(count, func() { refused = !call() || refused })
		})
	}
	series := []Series{
		times("dispatcher, arrive and answer", "servers", divide(scale, 900, 1800, 3600, 7200),
			func(n int) func() bool { return newCaller(n, 1000/scale+1).call }),
		times("dispatcher, arrive and answer", "customers", customers,
			func(n int) func() bool { return newCaller(targetServers/scale, n).call }),
		times("acceptor, offer and done", "open calls", divide(scale, 10, 100, 1000, 4000),
			func(n int) func() bool { return newCallee(n).call }),
		times("guard, new key and done", "keys", divide(scale, 1, 8_000, 16_000, 32_000), keyed(count)),
		times("quota, allow", "customers", customers, allowing),
	}
	if refused {
		return nil, &RefusalError{}
	}
	return series, nil
}

// keyed returns what offers prepared keys to a guard, so that the time to make
// a key is not counted.
func keyed(count int) func(n int) func() bool {
	return func(n int) func() bool {
		o := newOwner(n)
		offers := make([]*message.Offer, 0, rounds*count)
		for i := range rounds * count {
			offers = append(offers, &message.Offer{
				Service: serviceName(0), Customer: customerName(0), Key: keyAt(o.now, -1-i),
				Remaining: 100 * time.Millisecond, Epoch: o.epoch(),
			})
		}
		next := 0
		return func() bool {
			next++
			return o.run(offers[next-1])
		}
	}
}

// allowing returns what asks the quotas of customers in turn.
func allowing(customers int) func() bool {
	quotas := make(map[string]*quota.Quota, customers)
	names := make([]string, customers)
	for i := range names {
		names[i] = customerName(i)
		quotas[names[i]] = quota.New(start, names[i], 1e6, 1_000_000)
	}
	now, next := start, 0
	return func() bool {
		now = now.Add(spacing)
		next++
		return quotas[names[next%customers]].Allow(now)
	}
}

// RefusalError reports that a timed call was refused, so that its time is not
// that of a decision to run it.
type RefusalError struct{}

// Error says what happened.
func (*RefusalError) Error() string { return "a call of a timing was refused" }
