package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/papayapath/papayapath/internal/lab/caller"
	"github.com/papayapath/papayapath/internal/lab/history"
)

const (
	// distinctItems is the number of different resources that the requests of a
	// class name. Requests must differ, because nodes identify a request that
	// crashes servers by its content.
	distinctItems = 1000
	// normalRetryDelay is the time between a failure and the next attempt.
	normalRetryDelay = 100 * time.Millisecond
	// aggressiveRetryDelay replaces it for clients that retry aggressively.
	aggressiveRetryDelay = 10 * time.Millisecond
)

// Generator produces the load of several customers. Its methods are safe for
// concurrent use.
type Generator struct {
	customers []Customer
	entries   []string
	history   *history.History
	seed      uint64
	caller    *caller.Caller

	next atomic.Int64 // number of attempts, which use the entries in round-robin order

	mu         sync.Mutex
	factor     float64
	retryDelay time.Duration
	changed    chan struct{} // closed when factor changes
}

// New returns a generator that sends requests to the entry addresses in
// round-robin order and records the result of each request.
func New(seed uint64, entries []string, h *history.History, customers ...Customer) *Generator {
	return &Generator{
		customers: customers, entries: entries, history: h, seed: seed,
		caller: caller.New(), factor: 1, retryDelay: normalRetryDelay, changed: make(chan struct{}),
	}
}

// SetLoad multiplies the rates of all customers by factor, and selects normal
// or aggressive retries.
func (g *Generator) SetLoad(factor float64, aggressive bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor, g.retryDelay = factor, normalRetryDelay
	if aggressive {
		g.retryDelay = aggressiveRetryDelay
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// Run produces load until arrivalCtx ends, and waits for the responses until
// ctx ends.
func (g *Generator) Run(ctx, arrivalCtx context.Context) {
	defer g.caller.Close()
	var group conc.WaitGroup
	for _, c := range g.customers {
		group.Go(func() { g.generateArrivals(ctx, arrivalCtx, c) })
	}
	group.Wait()
}

// generateArrivals starts the requests of one customer as a Poisson process.
// Each arrival is scheduled relative to the previous scheduled time, not to
// when the goroutine ran, so that a busy machine does not reduce the load.
func (g *Generator) generateArrivals(ctx, arrivalCtx context.Context, c Customer) {
	var group conc.WaitGroup
	defer group.Wait()
	stream := xxhash.Sum64String(c.Name)
	random := rand.New(rand.NewPCG(g.seed, stream))
	keys := newKeySource(g.seed, stream)
	planned := time.Now()
	for number := 0; ; number++ {
		gap := random.ExpFloat64()
		class := c.PickClass(random.Float64())
		var ok bool
		if planned, ok = g.waitForArrival(arrivalCtx, planned, gap/c.Rate); !ok {
			return
		}
		r := &request{
			customer: c, class: class, arrived: time.Now(),
			root: fmt.Sprintf("%s-%d-%d", c.Name, g.seed, number),
			path: class.Path + "/" + strconv.Itoa(random.IntN(distinctItems)),
		}
		if class.NonRepeatable {
			r.key = keys.next()
		}
		group.Go(func() { g.sendUntilDone(ctx, r) })
	}
}

// waitForArrival waits until gap seconds at the normal rate have passed since
// planned. A rate change rescales the remaining gap.
func (g *Generator) waitForArrival(arrivalCtx context.Context, planned time.Time, gap float64) (time.Time, bool) {
	for {
		factor, changed := g.rate()
		due := planned.Add(time.Duration(gap / factor * float64(time.Second)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-arrivalCtx.Done():
			timer.Stop()
			return due, false
		case <-timer.C:
			return due, true
		case <-changed:
			timer.Stop()
			now := time.Now()
			gap -= max(0, now.Sub(planned).Seconds()*factor)
			planned = now
		}
	}
}

func (g *Generator) rate() (float64, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.factor, g.changed
}

// waitBeforeRetry waits for the retry delay and reports whether ctx is still
// active.
func (g *Generator) waitBeforeRetry(ctx context.Context) bool {
	g.mu.Lock()
	timer := time.NewTimer(g.retryDelay)
	g.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nextEntry returns the entry address for the next attempt.
func (g *Generator) nextEntry() string {
	return g.entries[int(g.next.Add(1))%len(g.entries)]
}

// keySource generates idempotency keys. Their random part is seeded; their
// time is the time of generation.
type keySource struct{ random *rand.ChaCha8 }

func newKeySource(seed, stream uint64) *keySource {
	var s [32]byte
	for i := range 8 {
		s[i], s[8+i] = byte(seed>>(8*i)), byte(stream>>(8*i))
	}
	return &keySource{random: rand.NewChaCha8(s)}
}

// next returns a new key. Reading from the random source never fails.
func (k *keySource) next() string { return uuid.Must(uuid.NewV7FromReader(k.random)).String() }
