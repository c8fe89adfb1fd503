package capacity

import (
	"context"
	"runtime"
	"time"

	"github.com/papayapath/papayapath/internal/lab/delay"
)

// Report holds all that one run measured.
type Report struct {
	Started      time.Time     `json:"started"`
	Elapsed      time.Duration `json:"took_ns"`
	Cores        int           `json:"cores"`
	Series       []Series      `json:"series"`
	MessageSizes []MessageSize `json:"sizes"`           // of messages that don't grow with the system
	Added        *Added        `json:"added,omitempty"` // nil if the delay was not measured
}

// Added is the delay that two nodes add to a call, in ms.
type Added struct {
	Calls  int     `json:"calls"`
	Median float64 `json:"median_ms"`
	P99    float64 `json:"p99_ms"`
}

// Defaults of the options.
const (
	defaultScale = 1
	defaultCalls = 2000
)

type options struct {
	scale int
	calls int
}

// Option sets a property of a measurement.
type Option func(*options)

// WithSizeDivisor divides all sizes and repetitions by n, which is for tests.
func WithSizeDivisor(n int) Option { return func(o *options) { o.scale = n } }

// WithCalls sets the number of calls by which the added delay is measured
// (default 2000). It is not measured if n is 0.
func WithCalls(n int) Option { return func(o *options) { o.calls = n } }

// Measure measures everything, in less than 90 s on an idle machine. It
// returns an error if the context ends or the delay can't be measured.
func Measure(ctx context.Context, opts ...Option) (*Report, error) {
	o := options{scale: defaultScale, calls: defaultCalls}
	for _, set := range opts {
		set(&o)
	}
	r := &Report{Started: time.Now().UTC(), Cores: runtime.NumCPU()}
	// The delay comes first, while the heap is small.
	if err := r.delay(ctx, o.calls); err != nil {
		return nil, err
	}
	for _, part := range []func(scale int) ([]Series, error){
		heap, decisions, changes, nodes, connections, spread, members,
	} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		series, err := part(o.scale)
		if err != nil {
			return nil, err
		}
		r.Series = append(r.Series, series...)
	}
	var err error
	if r.MessageSizes, err = lengths(); err != nil {
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

// divide returns sizes divided by scale, at least 1 each.
func divide(scale int, sizes ...int) []int {
	for i := range sizes {
		sizes[i] = max(sizes[i]/scale, 1)
	}
	return sizes
}
