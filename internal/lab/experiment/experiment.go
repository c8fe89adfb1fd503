package experiment

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/figures"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/pause"
	"github.com/papayapath/papayapath/internal/lab/server"
)

const (
	// slowdown is the factor applied to the run times of the bottleneck service
	// during the disturbance, and demandFactor the factor applied to the demand
	// (section 11 of the design).
	slowdown     = 4
	demandFactor = 3
	// startupDelay is the time between the start of the servers and the first
	// request. It is long enough for every server to announce itself.
	startupDelay = 300 * time.Millisecond
	// responseGrace is how long to wait for responses after the last arrival. No
	// attempt takes longer.
	responseGrace = 2200 * time.Millisecond
)

// Experiment is a single run of a deployment behind a variant.
type Experiment struct {
	deployment *deployment.Deployment
	variant    Variant
	seed       uint64
	timeline   figures.Schedule

	history   *history.History
	servers   []*server.Server
	generator *load.Generator
	phases    figures.PhaseTimes
}

// Option configures an Experiment.
type Option func(*Experiment)

// New returns an experiment for a deployment and a variant.
func New(d *deployment.Deployment, v Variant, options ...Option) *Experiment {
	e := &Experiment{
		deployment: d, variant: v, seed: 1, timeline: figures.DefaultSchedule(),
		history: history.New(),
	}
	for _, o := range options {
		o(e)
	}
	return e
}

// WithSeed sets the random seed of arrivals and run times.
func WithSeed(seed uint64) Option { return func(e *Experiment) { e.seed = seed } }

// WithTimeline sets the durations of the phases.
func WithTimeline(t figures.Schedule) Option { return func(e *Experiment) { e.timeline = t } }

// Run runs the experiment and returns its figures. It must be called only
// once. It returns the context's error if ctx ends early.
func (e *Experiment) Run(ctx context.Context) (figures.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mesh, err := e.variant.Start(ctx, e.deployment)
	if err != nil {
		return figures.Result{}, err
	}
	stopServers, err := e.startServers(ctx, mesh)
	if err == nil {
		err = e.runLoad(ctx, mesh)
	}
	err = errors.Join(err, stopServers(), mesh.Stop())
	if err != nil {
		return figures.Result{}, err
	}
	return figures.New(figures.Parameters{
		Deployment: e.deployment.Name(), Variant: e.variant.Name(),
		Seed: e.seed, Limit: e.deployment.Limit(slowdown),
	}, e.phases, e.history), nil
}

// startServers starts the backend servers and returns a function that stops
// the started ones.
func (e *Experiment) startServers(ctx context.Context, mesh Mesh) (stop func() error, err error) {
	ctx, cancel := context.WithCancel(ctx)
	group := pool.New().WithErrors()
	stop = func() error {
		cancel()
		return group.Wait()
	}
	for i, backend := range mesh.BackendAddresses {
		listener, err := loopback.Listen()
		if err != nil {
			return stop, err
		}
		s := e.deployment.Server(i, backend, e.seed, e.history)
		e.servers = append(e.servers, s)
		group.Go(func() error { return s.Run(ctx, listener) })
	}
	return stop, nil
}

// runLoad generates the load for the duration of all phases.
func (e *Experiment) runLoad(ctx context.Context, mesh Mesh) error {
	if err := pause.For(ctx, startupDelay); err != nil {
		return err
	}
	if mesh.WaitReady != nil {
		if err := mesh.WaitReady(ctx); err != nil {
			return err
		}
	}
	loadCtx, cancelLoad := context.WithTimeout(ctx, e.timeline.Total()+responseGrace)
	defer cancelLoad()
	arrivalCtx, stopArrivals := context.WithCancel(loadCtx)
	defer stopArrivals()
	e.generator = load.New(e.seed, mesh.CallerAddresses, e.history, e.deployment.Customers()...)
	var group conc.WaitGroup
	group.Go(func() { e.generator.Run(loadCtx, arrivalCtx) })
	err := e.runPhases(ctx)
	stopArrivals()
	group.Wait()
	return err
}

// runPhases runs the phases in sequence and records the start time of each.
func (e *Experiment) runPhases(ctx context.Context) error {
	for _, phase := range []struct {
		start    *time.Time
		onStart  func()
		duration time.Duration
	}{
		{&e.phases.WarmUp, func() {}, e.timeline.WarmUp},
		{&e.phases.Steady, func() {}, e.timeline.Steady},
		{&e.phases.Disturbance, func() { e.setDisturbance(slowdown, demandFactor, true) }, e.timeline.Disturbance},
		{&e.phases.Recovery, func() { e.setDisturbance(1, 1, false) }, e.timeline.Recovery},
	} {
		*phase.start = time.Now()
		phase.onStart()
		if err := pause.For(ctx, phase.duration); err != nil {
			return err
		}
	}
	e.phases.End = time.Now()
	return nil
}

// setDisturbance sets the slowdown of the bottleneck service, the demand
// factor and the retry behavior.
func (e *Experiment) setDisturbance(runTimeFactor, demand float64, aggressive bool) {
	for _, s := range e.servers {
		if s.Service() == e.deployment.Bottleneck() {
			s.SlowBy(runTimeFactor)
		}
	}
	e.generator.SetLoad(demand, aggressive)
}
