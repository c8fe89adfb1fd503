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
	// items is the number of different things that requests of one class ask
	// for. Requests must differ, because nodes recognise a request that
	// crashes servers by its content.
	items = 1000
	// calmPause is the time between a failure and the next send.
	calmPause = 100 * time.Millisecond
	// hardPause is the same for clients that resend hard.
	hardPause = 10 * time.Millisecond
)

// Generator produces the load of several customers. Its methods may be
// called from any goroutine.
type Generator struct {
	customers []Customer
	entries   []string
	history   *history.History
	seed      uint64
	caller    *caller.Caller

	next atomic.Int64 // number of sends, which take the entries in turn

	mu      sync.Mutex
	factor  float64
	pause   time.Duration
	changed chan struct{} // closed when factor changes
}

// New returns a generator that sends to the entry addresses in turn and
// records what becomes of each request.
func New(seed uint64, entries []string, h *history.History, customers ...Customer) *Generator {
	return &Generator{
		customers: customers, entries: entries, history: h, seed: seed,
		caller: caller.New(), factor: 1, pause: calmPause, changed: make(chan struct{}),
	}
}

// SetLoad multiplies the rate of all customers, and makes clients resend
// hard or calmly.
func (g *Generator) SetLoad(factor float64, hard bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.factor, g.pause = factor, calmPause
	if hard {
		g.pause = hardPause
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// Run produces load until arriving ends, and waits for the answers until ctx
// ends.
func (g *Generator) Run(ctx, arriving context.Context) {
	defer g.caller.Close()
	var group conc.WaitGroup
	for _, c := range g.customers {
		group.Go(func() { g.arrive(ctx, arriving, c) })
	}
	group.Wait()
}

// arrive starts the requests of one customer at the times of a Poisson
// process. Times are planned from the last planned time, not from when the
// goroutine ran, so a busy machine doesn't thin out the load.
func (g *Generator) arrive(ctx, arriving context.Context, c Customer) {
	var group conc.WaitGroup
	defer group.Wait()
	stream := xxhash.Sum64String(c.Name)
	random := rand.New(rand.NewPCG(g.seed, stream))
	keys := newKeys(g.seed, stream)
	planned := time.Now()
	for number := 0; ; number++ {
		gap := random.ExpFloat64()
		class := c.PickClass(random.Float64())
		var ok bool
		if planned, ok = g.await(arriving, planned, gap/c.Rate); !ok {
			return
		}
		r := &request{
			customer: c, class: class, arrived: time.Now(),
			root: fmt.Sprintf("%s-%d-%d", c.Name, g.seed, number),
			path: class.Path + "/" + strconv.Itoa(random.IntN(items)),
		}
		if class.NonRepeatable {
			r.key = keys.next()
		}
		group.Go(func() { g.serve(ctx, r) })
	}
}

// await waits until gap seconds at the normal rate have passed since planned.
// The rest of the gap shrinks or grows when the rate changes.
func (g *Generator) await(arriving context.Context, planned time.Time, gap float64) (time.Time, bool) {
	for {
		factor, changed := g.rate()
		due := planned.Add(time.Duration(gap / factor * float64(time.Second)))
		timer := time.NewTimer(time.Until(due))
		select {
		case <-arriving.Done():
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

// rest waits before a request is sent again and reports whether ctx is alive.
func (g *Generator) rest(ctx context.Context) bool {
	g.mu.Lock()
	timer := time.NewTimer(g.pause)
	g.mu.Unlock()
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// entry returns the entry for the next send.
func (g *Generator) entry() string {
	return g.entries[int(g.next.Add(1))%len(g.entries)]
}

// keys issues idempotency keys. Their random part is seeded; their time is
// the time of issue.
type keys struct{ random *rand.ChaCha8 }

func newKeys(seed, stream uint64) *keys {
	var s [32]byte
	for i := range 8 {
		s[i], s[8+i] = byte(seed>>(8*i)), byte(stream>>(8*i))
	}
	return &keys{random: rand.NewChaCha8(s)}
}

// next returns a new key. The random source never fails.
func (k *keys) next() string { return uuid.Must(uuid.NewV7FromReader(k.random)).String() }
