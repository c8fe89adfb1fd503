package overload

import (
	"strconv"
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/retryafter"
	"github.com/papayapath/papayapath/pkg/window"
)

// immediateRetryDelay is the retry delay of clients that ignore the advertised delay.
const immediateRetryDelay = 50 * time.Millisecond

// request is a client request across all its attempts.
type request struct {
	class    *class
	origin   *node // node through which the client enters
	start    time.Time
	attempts int
}

// startArrivals schedules the requests of a class as a Poisson process.
func (sim *Simulation) startArrivals(c *class) {
	if c.Rate == 0 {
		return
	}
	mean := float64(time.Second) / (c.Rate * sim.pattern.loadFactor() * (1 + sim.pattern.Variation.Wave))
	var next func()
	next = func() {
		if origin := sim.nodes[sim.random.IntN(len(sim.nodes))]; sim.hasDemand(origin.domain) {
			sim.sendAttempt(&request{class: c, origin: origin, start: sim.Now()})
		}
		sim.AfterFunc(time.Duration(sim.random.ExpFloat64()*mean), next)
	}
	sim.AfterFunc(time.Duration(sim.random.ExpFloat64()*mean), next)
}

// sendAttempt sends the next attempt of a request, if the admission window of
// its node admits it.
func (sim *Simulation) sendAttempt(r *request) {
	r.attempts++
	n, now := r.origin, sim.Now()
	admission := n.window(r.class)
	if n.pool != nil && !n.pool.admits(now, r.class) || !admission.Admit(now) {
		sim.retryOrGiveUp(r, retryafter.Rejection{NoCapacity: true})
		return
	}
	sim.requests++
	if n.pool != nil {
		n.pool.begin(now, r.class)
	}
	c := sim.newCall(r.class, n)
	c.end, c.priority = r.start.Add(r.class.timeout), priority.New(r.class.level, strconv.FormatUint(sim.requests, 10))
	c.useful, c.isRoot = now.Add(r.class.objective), true
	c.done = func() {
		admission.End(sim.Now(), window.Sample{Start: now, QueueDelay: c.delay, Refused: c.refused || c.outcome == refused})
		switch c.outcome {
		case served:
			sim.end(r, true)
		case refused:
			sim.retryOrGiveUp(r, retryafter.Rejection{NoCapacity: true, Latency: n.latency(r.class)})
		case failed:
			sim.retryOrGiveUp(r, retryafter.Rejection{Latency: n.latency(r.class)})
		}
	}
	n.send(c)
}

// retryOrGiveUp schedules the next attempt after a rejection or failure. It ends
// the request once its retries or its time are used up.
func (sim *Simulation) retryOrGiveUp(r *request, rejection retryafter.Rejection) {
	now := sim.Now()
	rejection.Remaining = r.start.Add(r.class.timeout).Sub(now)
	rejection.Objective = r.start.Add(r.class.objective).Sub(now)
	if r.attempts > max(1, sim.pattern.Retries) || rejection.Remaining <= 0 {
		sim.end(r, false)
		return
	}
	delay := rejection.Delay(sim.random.Float64())
	if sim.pattern.ImmediateRetries {
		delay = immediateRetryDelay
	}
	sim.AfterFunc(delay, func() { sim.sendAttempt(r) })
}

// end adds a finished request to the statistics.
func (sim *Simulation) end(r *request, answered bool) {
	stats := &sim.statistics
	stats.requests++
	stats.requestedWorth += r.class.Worth
	e := stats.classes[r.class.Name]
	if e == nil {
		e = &ended{}
		stats.classes[r.class.Name] = e
	}
	e.all++
	elapsed := sim.Now().Sub(r.start)
	if answered {
		stats.latencies = append(stats.latencies, elapsed)
	}
	switch {
	case !answered:
		stats.refused++
	case elapsed > r.class.objective:
		stats.late++
	default:
		e.inTime++
		stats.earnedWorth += r.class.Worth
	}
}
