package workload

import (
	"time"

	"github.com/papayapath/papayapath/pkg/distribution"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// refreshInterval is the time for which the remaining work of the running requests is
	// kept before it is added up again. Requests that take less are seldom late.
	refreshInterval = 2 * time.Millisecond
	// meanWeight is the weight of one run in the mean time that a run holds a slot.
	meanWeight = 1.0 / 64
	// minWaitFraction is the least wait of a queued request, as a fraction of the one that
	// its position in the queue lets expect in steady operation.
	minWaitFraction = 0.5
	// maxKinds bounds the kinds of requests.
	maxKinds = 64
)

// Run is a running request. The zero value is not running.
type Run struct {
	kind    *distribution.Distribution // of the seconds for which such runs hold a slot
	started time.Time
	index   int
	running bool
}

// Tracker estimates the remaining work of one backend server.
//
// A Tracker is not safe for concurrent use.
type Tracker struct {
	kinds     map[message.Route]*distribution.Distribution
	running   []*Run
	mean      float64   // seconds for which a run holds a slot
	refreshed time.Time // when the sums were added up
	remaining float64   // seconds, expected of the running requests
	steady    float64   // seconds, expected of as many requests in steady operation
}

// New returns a tracker without requests.
func New() *Tracker {
	return &Tracker{kinds: make(map[message.Route]*distribution.Distribution)}
}

// Start records the start of a run. The caller keeps r until it calls End.
func (t *Tracker) Start(now time.Time, key message.Route, r *Run) {
	if r.running {
		return
	}
	d := t.kinds[key]
	if d == nil {
		if len(t.kinds) >= maxKinds {
			clear(t.kinds)
		}
		d = &distribution.Distribution{}
		t.kinds[key] = d
	}
	*r = Run{kind: d, started: now, index: len(t.running), running: true}
	t.running = append(t.running, r)
}

// End records the end of a run. The argument answered reports whether the server
// answered the request: the time of another run tells nothing of the next ones.
func (t *Tracker) End(now time.Time, r *Run, answered bool) {
	if !r.running {
		return
	}
	last := t.running[len(t.running)-1]
	t.running[r.index], last.index = last, r.index
	t.running[len(t.running)-1] = nil
	t.running = t.running[:len(t.running)-1]
	r.running = false
	if !answered {
		return
	}
	elapsed := now.Sub(r.started).Seconds()
	r.kind.Add(elapsed)
	if t.mean == 0 {
		t.mean = elapsed
	}
	t.mean += meanWeight * (elapsed - t.mean)
}

// Usual returns the mean time for which a run of a kind holds a slot, or that of all runs
// if too few of the kind are known.
func (t *Tracker) Usual(key message.Route) time.Duration {
	if d := t.kinds[key]; d != nil && d.Known() {
		return duration(d.Mean())
	}
	return duration(t.mean)
}

// refresh adds up the remaining work of the running requests.
func (t *Tracker) refresh(now time.Time) {
	if now.Sub(t.refreshed) < refreshInterval {
		return
	}
	t.refreshed, t.remaining, t.steady = now, 0, 0
	for _, r := range t.running {
		if !r.kind.Known() {
			t.remaining += t.mean
			t.steady += t.mean
			continue
		}
		t.remaining += r.kind.Residual(now.Sub(r.started).Seconds())
		t.steady += r.kind.RunningResidual()
	}
}

// Remaining returns the expected remaining work, in slot time: that of the running
// requests, given how long they have run, and that of a number of queued ones.
func (t *Tracker) Remaining(now time.Time, queued int) time.Duration {
	t.refresh(now)
	return duration(t.remaining + float64(queued)*t.mean)
}

// Wait returns the expected time until a further request is started at a server that
// runs up to limit requests, behind a number of queued ones. It is 0 with a free slot.
//
// In steady operation a slot is freed each mean/limit. Running requests that have more
// left to do than usual delay that: the excess is work that the slots do in addition.
func (t *Tracker) Wait(now time.Time, limit, queued int) time.Duration {
	if len(t.running) < limit && queued == 0 || limit <= 0 {
		return 0
	}
	t.refresh(now)
	usual := float64(queued+1) * t.mean
	return duration(max(minWaitFraction*usual, usual+t.remaining-t.steady) / float64(limit))
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
