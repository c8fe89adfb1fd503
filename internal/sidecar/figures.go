package sidecar

import (
	"net"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	// metricsPort is the port of the metrics; deploy/system.toml names it too.
	metricsPort = "9180"
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 256
	// sampleDecay favours values of the last minutes, as in the documentation
	// of go-metrics.
	sampleDecay = 0.015
)

// figures are the counters and histograms of a node.
type figures struct {
	registry      metrics.Registry
	requests      metrics.Counter
	refused       metrics.Counter
	doubtful      metrics.Counter
	expired       metrics.Counter
	abandoned     metrics.Counter
	retries       metrics.Counter
	malformed     metrics.Counter
	unrouted      metrics.Counter
	offersRefused metrics.Counter
	logFailures   metrics.Counter
	latency       metrics.Histogram // of complete answers, in microseconds
	service       metrics.Histogram // of runs at the own server, in microseconds
}

func newFigures() *figures {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return &figures{
		registry:      r,
		requests:      counter("requests"),
		refused:       counter("requests_refused"),
		doubtful:      counter("requests_doubtful"),
		expired:       counter("requests_expired"),
		abandoned:     counter("requests_abandoned"),
		retries:       counter("requests_retried"),
		malformed:     counter("requests_malformed"),
		unrouted:      counter("requests_unrouted"),
		offersRefused: counter("offers_refused"),
		logFailures:   counter("log_failures"),
		latency:       histogram("latency_us"),
		service:       histogram("service_us"),
	}
}

func (f *figures) complete(d time.Duration) { f.latency.Update(d.Microseconds()) }

func (f *figures) run(d time.Duration) { f.service.Update(d.Microseconds()) }

// metricsAddress returns where the metrics of the instance at ip are served.
func metricsAddress(ip string) string { return net.JoinHostPort(ip, metricsPort) }

// quantiles are the parts of the values of a histogram below which figures are
// given.
var quantiles = []float64{0.5, 0.9, 0.99}

// metrics writes all figures, one a line.
func (n *Node) metrics(ctx *fasthttp.RequestCtx) {
	line := func(name string, v int64) {
		ctx.Response.AppendBodyString(name)
		ctx.Response.AppendBodyString(" ")
		ctx.Response.AppendBodyString(strconv.FormatInt(v, 10))
		ctx.Response.AppendBodyString("\n")
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	n.figures.registry.Each(func(name string, i any) {
		switch m := i.(type) {
		case metrics.Counter:
			line(name, m.Count())
		case metrics.Histogram:
			s := m.Snapshot()
			line(name+"_count", s.Count())
			for i, v := range s.Percentiles(quantiles) {
				line(name+"_p"+strconv.FormatFloat(100*quantiles[i], 'f', -1, 64), int64(v))
			}
		}
	})
	open, dialed, reused := n.pool.Stats()
	line("server_connections", int64(open))
	line("server_connections_opened", int64(dialed))
	line("server_connections_reused", int64(reused))
	n.mu.Lock()
	defer n.mu.Unlock()
	line("server_running", int64(n.runner.Running()))
	line("server_queued", int64(n.runner.Queued()))
	line("server_limit", int64(n.runner.Limit()))
	line("nodes", int64(n.registry.Len()))
	line("links", int64(len(n.mesh.Links())))
	line("configuration_version", int64(n.digest().Version))
}
