package virtual

import (
	"time"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
)

const (
	// settle is the time after the start of a world until every key has an
	// owner that may run calls.
	settle = 6 * time.Second
	// drain is the time for the last requests to end.
	drain = 3 * time.Second
	// slowdown and surge are the disturbance of section 11 of the design.
	slowdown = 4
	surge    = 3
)

// Experiment runs the disturbance of the design on a deployment and returns
// its figures and the world in which it ran.
func Experiment(d *deployment.Deployment, seed uint64, t figures.Schedule) (figures.Result, *World) {
	w := New(d, seed)
	w.Run(settle)
	var p figures.PhaseTimes
	p.WarmUp = w.Now()
	w.Load(1, false)
	w.Run(t.WarmUp)
	p.Steady = w.Now()
	w.Run(t.Steady)
	p.Disturbance = w.Now()
	w.Slow(d.Bottleneck(), slowdown)
	w.Load(surge, true)
	w.Run(t.Disturbance)
	p.Recovery = w.Now()
	w.Slow(d.Bottleneck(), 1)
	w.Load(1, false)
	w.Run(t.Recovery)
	p.End = w.Now()
	w.Quiet()
	w.Run(drain)
	return w.Result(p, d.Limit(slowdown)), w
}
