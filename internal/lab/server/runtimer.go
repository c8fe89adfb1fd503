package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// runTimer draws run times and blocks runs while the server is paused.
type runTimer struct {
	meanRunTime time.Duration
	spread      float64
	coldPeriod  time.Duration
	coldFactor  float64

	mu       sync.Mutex
	random   *rand.Rand
	started  time.Time
	slowdown float64
	resumed  chan struct{} // closed while the server is not paused
}

func newRunTimer(meanRunTime time.Duration, spread float64, seed uint64, coldPeriod time.Duration, coldFactor float64) *runTimer {
	c := &runTimer{
		meanRunTime: meanRunTime, spread: spread, coldPeriod: coldPeriod, coldFactor: coldFactor,
		random: rand.New(rand.NewPCG(seed, seed)), slowdown: 1,
		resumed: make(chan struct{}),
	}
	close(c.resumed)
	return c
}

// recordStart sets the start time, from which the cold-start slowdown is
// computed.
func (c *runTimer) recordStart(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = now
}

func (c *runTimer) setSlowdown(slowdown float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowdown = slowdown
}

func (c *runTimer) setPaused(paused bool) {
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

// drawRunTime draws the duration of a run that starts now. A meanRunTime of 0
// selects the server's default.
func (c *runTimer) drawRunTime(meanRunTime time.Duration, now time.Time) time.Duration {
	if meanRunTime == 0 {
		meanRunTime = c.meanRunTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slowdown := c.slowdown * (1 + c.spread*(2*c.random.Float64()-1))
	if uptime := now.Sub(c.started); uptime < c.coldPeriod {
		slowdown *= 1 + (c.coldFactor-1)*(1-float64(uptime)/float64(c.coldPeriod))
	}
	return time.Duration(float64(meanRunTime) * slowdown)
}

// wait sleeps for d and then until the server is not paused. It reports
// whether ctx is still active.
func (c *runTimer) wait(ctx context.Context, d time.Duration) bool {
	return sleep(ctx, d) && c.waitResumed(ctx)
}

// waitResumed blocks while the server is paused and reports whether ctx is
// still active.
func (c *runTimer) waitResumed(ctx context.Context) bool {
	c.mu.Lock()
	resumed := c.resumed
	c.mu.Unlock()
	select {
	case <-resumed:
		if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
			<-ctx.Done() // its timer may be late
		}
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
