package operator

import (
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"

	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// prefix starts the names of all metrics.
const prefix = "papayapath_"

// contentType is the media type of the Prometheus text format.
const contentType = "text/plain; version=0.0.4"

// metrics writes all metrics in the Prometheus text format.
func (c *Console) metrics(f fiber.Ctx) error {
	registry := metrics.NewRegistry()
	c.runtime.View(func(n *node.Node) { collect(registry, n.Status(time.Now())) })
	var text strings.Builder
	registry.Each(func(name string, m any) { write(&text, name, m) })
	f.Set(fiber.HeaderContentType, contentType)
	return f.SendString(text.String())
}

// collect registers the present values.
func collect(r metrics.Registry, s node.Status) {
	server := s.Server()
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, r).Update(value) }
	counter := func(name string, value uint64) { metrics.GetOrRegisterCounter(name, r).Inc(int64(value)) }
	gauge("limit", int64(server.Limit()))
	gauge("running", int64(server.Running()))
	gauge("queued", int64(server.Queued()))
	gauge("threshold", int64(server.Threshold()))
	gauge("lease_ms", s.Lease().Milliseconds())
	gauge("members", int64(len(s.Members())))
	counter("offered_total", server.Offered())
	counter("started_total", server.Started())
	counter("completed_total", server.Completed())
	counter("preempted_total", server.Preempted())
	for reason := outcome.Overload; reason <= outcome.Forgotten; reason++ {
		counter("refused_"+reason.String()+"_total", server.Refused(reason))
	}
	caller := s.Caller()
	for k := dispatcher.Arrived; k <= dispatcher.Doubtful; k++ {
		counter("calls_"+k.String()+"_total", caller.Count(k))
	}
}

func write(text *strings.Builder, name string, m any) {
	switch m := m.(type) {
	case metrics.Gauge:
		_, _ = fmt.Fprintf(text, "# TYPE %s%s gauge\n%s%s %d\n", prefix, name, prefix, name, m.Value())
	case metrics.Counter:
		_, _ = fmt.Fprintf(text, "# TYPE %s%s counter\n%s%s %d\n", prefix, name, prefix, name, m.Count())
	}
}
