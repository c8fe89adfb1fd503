package overload

import (
	"strconv"
	"time"

	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/retryafter"
	"github.com/papayapath/papayapath/pkg/window"
)

// hardReturn is when a client comes back that does not wait as told.
const hardReturn = 50 * time.Millisecond

// request is one request of a client with all its attempts.
type request struct {
	class    *class
	at       *node // the client's own node
	start    time.Time
	attempts int
}

// startClients lets requests of a class arrive at random times.
func (w *Simulation) startClients(c *class) {
	if c.Rate == 0 {
		return
	}
	mean := float64(time.Second) / (c.Rate * w.pattern.load())
	var next func()
	next = func() {
		w.arrive(&request{class: c, at: w.nodes[w.random.IntN(len(w.nodes))], start: w.Now()})
		w.AfterFunc(time.Duration(w.random.ExpFloat64()*mean), next)
	}
	w.AfterFunc(time.Duration(w.random.ExpFloat64()*mean), next)
}

// arrive makes one attempt of a request.
func (w *Simulation) arrive(r *request) {
	r.attempts++
	n, now := r.at, w.Now()
	own := n.window(r.class)
	if !own.Admit(now) {
		w.refuse(r, retryafter.Rejection{NoCapacity: true})
		return
	}
	w.requests++
	c := &call{
		class: r.class, at: n, end: r.start.Add(r.class.wait),
		priority: priority.New(r.class.level, strconv.FormatUint(w.requests, 10)),
	}
	c.done = func() {
		own.End(w.Now(), window.Sample{Start: now, QueueDelay: c.delay, Refused: c.refused || c.outcome == refused})
		switch c.outcome {
		case served:
			w.end(r, true)
		case refused:
			w.refuse(r, retryafter.Rejection{NoCapacity: true, Latency: n.latency(r.class)})
		case failed:
			w.refuse(r, retryafter.Rejection{Latency: n.latency(r.class)})
		}
	}
	n.send(c)
}

// refuse has a client come back, if it still does.
func (w *Simulation) refuse(r *request, told retryafter.Rejection) {
	now := w.Now()
	told.Remaining = r.start.Add(r.class.wait).Sub(now)
	told.Objective = r.start.Add(r.class.objective).Sub(now)
	if r.attempts > max(1, w.pattern.Retries) || told.Remaining <= 0 {
		w.end(r, false)
		return
	}
	pause := told.Delay(w.random.Float64())
	if w.pattern.ImmediateRetries {
		pause = hardReturn
	}
	w.AfterFunc(pause, func() { w.arrive(r) })
}

// end counts a request.
func (w *Simulation) end(r *request, answered bool) {
	f := &w.statistics
	f.requests++
	f.asked += r.class.Worth
	switch {
	case !answered:
		f.refused++
	case w.Now().Sub(r.start) > r.class.objective:
		f.late++
	default:
		f.earned += r.class.Worth
	}
}
