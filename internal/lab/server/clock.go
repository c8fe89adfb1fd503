package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// clock decides how long runs take and holds them while the server is paused.
type clock struct {
	mean       time.Duration
	spread     float64
	cold       time.Duration
	coldFactor float64

	mu      sync.Mutex
	random  *rand.Rand
	started time.Time
	factor  float64
	resumed chan struct{} // closed while the server is not paused
}

func newClock(mean time.Duration, spread float64, seed uint64, cold time.Duration, coldFactor float64) *clock {
	c := &clock{
		mean: mean, spread: spread, cold: cold, coldFactor: coldFactor,
		random: rand.New(rand.NewPCG(seed, seed)), factor: 1,
		resumed: make(chan struct{}),
	}
	close(c.resumed)
	return c
}

// begin notes the start of the server.
func (c *clock) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = now
}

func (c *clock) slow(factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.factor = factor
}

func (c *clock) pause(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.resumed:
		if paused {
			c.resumed = make(chan struct{})
		}
	default:
		if !paused {
			close(c.resumed)
		}
	}
}

// duration draws the time of a run that starts now. A mean of 0 stands for
// the server's.
func (c *clock) duration(mean time.Duration, now time.Time) time.Duration {
	if mean == 0 {
		mean = c.mean
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	factor := c.factor * (1 + c.spread*(2*c.random.Float64()-1))
	if warm := now.Sub(c.started); warm < c.cold {
		factor *= 1 + (c.coldFactor-1)*(1-float64(warm)/float64(c.cold))
	}
	return time.Duration(float64(mean) * factor)
}

// spend lets time pass, and more while the server is paused. It reports
// whether ctx is still alive.
func (c *clock) spend(ctx context.Context, d time.Duration) bool {
	return sleep(ctx, d) && c.gate(ctx)
}

// gate waits while the server is paused and reports whether ctx is alive.
func (c *clock) gate(ctx context.Context) bool {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	select {
	case <-resumed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
