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

// RunExperiment runs the disturbance of the design on a deployment and returns
// its figures and the world in which it ran.
func RunExperiment(d *deployment.Deployment, seed uint64, t figures.Schedule) (figures.Result, *Simulation) {
	w := New(d, seed)
	w.Run(settle)
	var p figures.PhaseTimes
	p.WarmUp = w.Now()
	w.SetLoad(1, false)
	w.Run(t.WarmUp)
	p.Steady = w.Now()
	w.Run(t.Steady)
	p.Disturbance = w.Now()
	w.SetSlowdown(d.Bottleneck(), slowdown)
	w.SetLoad(surge, true)
	w.Run(t.Disturbance)
	p.Recovery = w.Now()
	w.SetSlowdown(d.Bottleneck(), 1)
	w.SetLoad(1, false)
	w.Run(t.Recovery)
	p.End = w.Now()
	w.StopLoad()
	w.Run(drain)
	return w.Result(p, d.Limit(slowdown)), w
}
