package virtual

import (
	"time"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
)

const (
	// settleTime is the time after the start of a simulation until every key has
	// an owner that may run calls.
	settleTime = 6 * time.Second
	// drainTime is the time for the last requests to finish.
	drainTime = 3 * time.Second
	// slowdown and loadSurge define the disturbance of section 11 of the design.
	slowdown  = 4
	loadSurge = 3
)

// RunExperiment subjects a deployment to the disturbance of section 11 of the
// design. It returns the figures and the simulation.
func RunExperiment(d *deployment.Deployment, seed uint64, t figures.Schedule) (figures.Result, *Simulation) {
	sim := New(d, seed)
	sim.Run(settleTime)
	var p figures.PhaseTimes
	p.WarmUp = sim.Now()
	sim.SetLoad(1, false)
	sim.Run(t.WarmUp)
	p.Steady = sim.Now()
	sim.Run(t.Steady)
	p.Disturbance = sim.Now()
	sim.SetSlowdown(d.Bottleneck(), slowdown)
	sim.SetLoad(loadSurge, true)
	sim.Run(t.Disturbance)
	p.Recovery = sim.Now()
	sim.SetSlowdown(d.Bottleneck(), 1)
	sim.SetLoad(1, false)
	sim.Run(t.Recovery)
	p.End = sim.Now()
	sim.StopLoad()
	sim.Run(drainTime)
	return sim.Result(p, d.Limit(slowdown)), sim
}
