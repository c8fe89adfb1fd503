package capacity

import (
	"context"
	"runtime"
	"time"

	"github.com/papayapath/papayapath/internal/lab/delay"
)

// Report holds the results of one run.
type Report struct {
	Started      time.Time     `json:"started"`
	Elapsed      time.Duration `json:"took_ns"`
	Cores        int           `json:"cores"`
	Series       []Series      `json:"series"`
	MessageSizes []MessageSize `json:"sizes"`           // of messages whose size does not depend on the system size
	Added        *Added        `json:"added,omitempty"` // nil if the added latency was not measured
}

// Added is the latency that two nodes add to a call, in milliseconds.
type Added struct {
	Calls  int     `json:"calls"`
	Median float64 `json:"median_ms"`
	P99    float64 `json:"p99_ms"`
}

const (
	defaultDivisor = 1
	defaultCalls   = 2000
)

type options struct {
	divisor int
	calls   int
}

// Option configures Measure.
type Option func(*options)

// WithSizeDivisor divides all sizes and repetition counts by n, to shorten tests.
func WithSizeDivisor(n int) Option { return func(o *options) { o.divisor = n } }

// WithCalls sets the number of calls for the measurement of the added latency
// (default 2000). With 0 the measurement is skipped.
func WithCalls(n int) Option { return func(o *options) { o.calls = n } }

// Measure runs all measurements, in less than 90 s on an idle machine. It
// returns an error if ctx is done or a measurement fails.
func Measure(ctx context.Context, opts ...Option) (*Report, error) {
	o := options{divisor: defaultDivisor, calls: defaultCalls}
	for _, set := range opts {
		set(&o)
	}
	r := &Report{Started: time.Now().UTC(), Cores: runtime.NumCPU()}
	// Latency is measured first, while the heap is small.
	if err := r.delay(ctx, o.calls); err != nil {
		return nil, err
	}
	for _, measure := range []func(divisor int) ([]Series, error){
		measureHeap, measureDecisions, measureChanges, measureNodes, measureConnections, measureGossip, measureMembership,
	} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		series, err := measure(o.divisor)
		if err != nil {
			return nil, err
		}
		r.Series = append(r.Series, series...)
	}
	var err error
	if r.MessageSizes, err = measureMessageSizes(); err != nil {
		return nil, err
	}
	r.Elapsed = time.Since(r.Started)
	return r, nil
}

func (r *Report) delay(ctx context.Context, calls int) error {
	if calls == 0 {
		return nil
	}
	f, err := delay.Measure(ctx, calls, 0)
	if err != nil {
		return err
	}
	r.Added = &Added{Calls: calls, Median: f.Added(50), P99: f.Added(99)}
	return nil
}

// divideSizes divides each size in place, to at least 1.
func divideSizes(divisor int, sizes ...int) []int {
	for i := range sizes {
		sizes[i] = max(sizes[i]/divisor, 1)
	}
	return sizes
}
