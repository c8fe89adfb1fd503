package sidecar

import (
	"net"
	runtimemetrics "runtime/metrics"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/papayapath/papayapath/internal/histogram"
	"github.com/papayapath/papayapath/pkg/frame"
	"github.com/papayapath/papayapath/pkg/memory"
)

const (
	// metricsPort is the port of the metrics endpoint. It must match
	// deploy/system.toml.
	metricsPort = "9180"
)

// stats holds the counters and histograms of a node.
type stats struct {
	registry       metrics.Registry
	requests       metrics.Counter
	refused        metrics.Counter
	unknownOutcome metrics.Counter
	expired        metrics.Counter
	abandoned      metrics.Counter
	retries        metrics.Counter
	malformed      metrics.Counter
	unrouted       metrics.Counter
	hopeless       metrics.Counter // requests refused because others of their kind failed for lack of capacity
	starved        metrics.Counter // requests with precedence, because others of their kind were not served
	unauthorized   metrics.Counter // requests without a valid API key
	unconfirmed    metrics.Counter // requests with a key that only a newer configuration may have
	offersRefused  metrics.Counter
	offersSent     metrics.Counter // where servers are chosen by expected outcome
	offersCrossing metrics.Counter // those among them to other failure domains
	delayed        metrics.Counter // offers that were delayed on their link
	withdrawn      metrics.Counter // offers that were withdrawn while queued or running here
	withdrawnRuns  metrics.Counter // those among them that had been sent to the server
	unwantedRuns   metrics.Counter // those among them that were sent after they had been withdrawn
	unwantedCalls  metrics.Counter // calls of the server for requests that had been withdrawn
	cutRuns        metrics.Counter // runs that were cut when the node exited
	logFailures    metrics.Counter
	budgetRefused  metrics.Counter     // requests refused because no retry budget covers their calls
	resendsRefused metrics.Counter     // offers refused because the retry budget is used up
	resends        metrics.Counter     // requests sent again after servers shed them
	credited       metrics.Counter     // requests that count for the retry budget of the local backend server
	resendsTaken   metrics.Counter     // repeats charged to it after a server shed the request
	rerunsTaken    metrics.Counter     // other repeats charged to it
	repeatCalls    metrics.Counter     // calls of runs that were repeats
	crashes        metrics.Counter     // crashes of the local backend server
	suspectOffers  metrics.Counter     // offers refused because their request is suspected of crashing servers
	sends          metrics.Counter     // requests sent to the local backend server
	lateSends      metrics.Counter     // those among them that waited until they could not meet their objective
	latency        histogram.Histogram // of complete responses
	serviceTime    histogram.Histogram // of executions on the local backend server
}

func newStats() *stats {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return &stats{
		registry:       r,
		requests:       counter("requests"),
		refused:        counter("requests_refused"),
		unknownOutcome: counter("requests_doubtful"),
		expired:        counter("requests_expired"),
		abandoned:      counter("requests_abandoned"),
		retries:        counter("requests_retried"),
		malformed:      counter("requests_malformed"),
		unrouted:       counter("requests_unrouted"),
		hopeless:       counter("requests_hopeless"),
		starved:        counter("requests_starved"),
		unauthorized:   counter("requests_unauthorized"),
		unconfirmed:    counter("requests_unconfirmed"),
		offersRefused:  counter("offers_refused"),
		offersSent:     counter("offers_sent"),
		offersCrossing: counter("offers_crossing"),
		delayed:        counter("offers_delayed"),
		withdrawn:      counter("offers_withdrawn"),
		withdrawnRuns:  counter("offers_withdrawn_running"),
		unwantedRuns:   counter("server_requests_unwanted"),
		unwantedCalls:  counter("calls_unwanted"),
		cutRuns:        counter("runs_cut"),
		logFailures:    counter("log_failures"),
		crashes:        counter("server_crashes"),
		suspectOffers:  counter("offers_refused_suspect"),
		sends:          counter("server_requests"),
		lateSends:      counter("server_requests_late"),
		budgetRefused:  counter("requests_refused_budget"),
		resendsRefused: counter("offers_refused_budget"),
		resends:        counter("requests_resent"),
		credited:       counter("retry_requests_credited"),
		resendsTaken:   counter("retry_resends"),
		rerunsTaken:    counter("retry_reruns"),
		repeatCalls:    counter("retry_calls"),
	}
}

// metricsAddress returns the address of the metrics endpoint on the given IP.
func metricsAddress(ip string) string { return net.JoinHostPort(ip, metricsPort) }

// reportedQuantiles are the quantiles reported for each histogram.
var reportedQuantiles = []float64{0.5, 0.9, 0.99}

// metrics writes all metrics as text, one name and value per line.
func (n *Node) metrics(ctx *fasthttp.RequestCtx) {
	line := func(name string, v int64) {
		ctx.Response.AppendBodyString(name)
		ctx.Response.AppendBodyString(" ")
		ctx.Response.AppendBodyString(strconv.FormatInt(v, 10))
		ctx.Response.AppendBodyString("\n")
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	n.stats.registry.Each(func(name string, i any) {
		if c, ok := i.(metrics.Counter); ok {
			line(name, c.Count())
		}
	})
	reportHistogram(line, "latency_us", &n.stats.latency)
	reportHistogram(line, "service_us", &n.stats.serviceTime)
	open, dialed, reused := n.pool.Stats()
	line("server_connections", int64(open))
	line("server_connections_opened", int64(dialed))
	line("server_connections_reused", int64(reused))
	for k := frame.Kind(1); k < frame.KindCount; k++ {
		line("peer_bytes_sent_"+k.String(), int64(n.mesh.Traffic().Sent(k)))
		line("peer_frames_sent_"+k.String(), int64(n.mesh.Traffic().Frames(k)))
	}
	line("peer_reads", int64(n.mesh.Traffic().Reads()))
	line("peer_writes", int64(n.mesh.Traffic().Writes()))
	n.reportBudget(line)
	if n.limiterRuns.Load() {
		n.reportLimiter(line)
	}
	for _, m := range append(readRuntime(), readProcessor()...) {
		line(m.name, m.value)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	line("server_running", int64(n.runner.Running()))
	line("server_queued", int64(n.runner.Queued()))
	if n.sharing != nil {
		line("server_shed_permille", int64(n.sharing.meter.Rate()*permille))
	}
	line("server_limit", int64(n.runner.Limit()))
	n.placement.metrics(time.Now(), n.runner.Queued(), line)
	line("requests_suspected", int64(n.quarantine.Len(time.Now())))
	line("nodes", int64(n.registry.Len()))
	line("links", int64(len(n.mesh.Links())))
	line("log_generation", int64(n.logGeneration))
	line("configuration_version", int64(n.digest().Version))
}

// reportHistogram reports the number of durations and their quantiles in microseconds.
func reportHistogram(line func(name string, v int64), name string, h *histogram.Histogram) {
	line(name+"_count", int64(h.Count()))
	for _, q := range reportedQuantiles {
		line(name+"_p"+strconv.FormatFloat(100*q, 'f', -1, 64), h.Quantile(q).Microseconds())
	}
}

// reportBudget reports the use of the memory budget.
func (n *Node) reportBudget(line func(name string, v int64)) {
	s := n.budget.Stats()
	line("memory_budget", n.budget.Limit())
	line("memory_held", s.Used)
	line("memory_held_peak", s.Peak)
	line("memory_revoked", s.Revoked)
	line("memory_refused", s.Refused)
	for h, size := range s.Held {
		line("memory_held_"+memory.Holder(h).String(), size)
	}
}

// runtimeMetrics are the metrics of the runtime that are reported, by their names
// here. Their units are bytes, cycles and microseconds.
var runtimeMetrics = [...]struct{ name, source string }{
	{"memory_live", "/gc/heap/live:bytes"}, // in use at the last garbage collection
	{"memory_objects", "/memory/classes/heap/objects:bytes"},
	{"memory_stacks", "/memory/classes/heap/stacks:bytes"},
	{"memory_mapped", "/memory/classes/total:bytes"},
	{"memory_released", "/memory/classes/heap/released:bytes"}, // part of what is mapped
	{"memory_allocated", "/gc/heap/allocs:bytes"},
	{"memory_collections", "/gc/cycles/total:gc-cycles"},
	{"goroutines", "/sched/goroutines:goroutines"},
	{"processor_collector_us", "/cpu/classes/gc/total:cpu-seconds"}, // until the last garbage collection
}

// gauge is the value of a metric.
type gauge struct {
	name  string
	value int64
}

// readRuntime returns the values of runtimeMetrics.
func readRuntime() []gauge {
	samples := make([]runtimemetrics.Sample, len(runtimeMetrics))
	for i, m := range runtimeMetrics {
		samples[i].Name = m.source
	}
	runtimemetrics.Read(samples)
	var values []gauge
	for i, s := range samples {
		switch s.Value.Kind() {
		case runtimemetrics.KindUint64:
			values = append(values, gauge{name: runtimeMetrics[i].name, value: int64(s.Value.Uint64())})
		case runtimemetrics.KindFloat64:
			values = append(values, gauge{name: runtimeMetrics[i].name, value: int64(s.Value.Float64() * 1e6)})
		}
	}
	return values
}

// readProcessor returns the processor time of the process in microseconds, in its own
// code and in the kernel, and how often its threads have waited. It returns nothing
// where the platform does not tell.
func readProcessor() []gauge {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return nil
	}
	return []gauge{
		{name: "processor_user_us", value: time.Duration(u.Utime.Nano()).Microseconds()},
		{name: "processor_system_us", value: time.Duration(u.Stime.Nano()).Microseconds()},
		{name: "processor_waits", value: u.Nvcsw},
	}
}
