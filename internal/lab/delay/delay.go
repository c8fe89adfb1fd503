package delay

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/gateway"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/mesh"
	"github.com/papayapath/papayapath/internal/lab/pause"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/node"
)

const (
	service  = "echo"
	customer = "delay"
	// serverSlots exceeds the concurrency of the measurement.
	serverSlots = 64
	// announceInterval is the time between announcements.
	announceInterval = 200 * time.Millisecond
	// warmUpCalls is the number of initial calls that are not recorded.
	warmUpCalls = 500
	// maxMicroseconds and significantDigits are the range and precision of the
	// histograms: up to 10 s in µs, with three significant digits.
	maxMicroseconds   = 10_000_000
	significantDigits = 3
	// deadline is the time limit of a measured call.
	deadline = 2 * time.Second
)

// Latencies holds the latencies of the same call made directly and through
// nodes.
type Latencies struct {
	Direct   *hdrhistogram.Histogram // µs
	ViaNodes *hdrhistogram.Histogram // µs
}

// Added returns the difference of the two latencies at a percentile, in ms.
func (f Latencies) Added(percentile float64) float64 {
	difference := f.ViaNodes.ValueAtQuantile(percentile) - f.Direct.ValueAtQuantile(percentile)
	return float64(difference) / 1000
}

// Measure makes n calls to a backend server that responds immediately,
// alternating between direct calls and calls through two nodes, with a pause
// between them.
func Measure(ctx context.Context, n int, gap time.Duration) (Latencies, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m, err := mesh.Start(ctx, 2)
	if err != nil {
		return Latencies{}, err
	}
	listener, err := loopback.Listen()
	if err != nil {
		return Latencies{}, err
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer func() { _ = m.Stop() }()
	defer cancel()
	tasks.Go(func() { _ = serve(ctx, listener) })
	tasks.Go(func() { announce(ctx, m.Nodes()[1].Egress(), listener.Address()) })
	if err := publishContract(ctx, m); err != nil {
		return Latencies{}, err
	}
	return compare(ctx, n, gap,
		"http://"+listener.Address()+"/", "http://"+m.Nodes()[0].Callers()+"/"+service+"/")
}

func serve(ctx context.Context, listener *loopback.Listener) error {
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyString("ok") }}
	stop := context.AfterFunc(ctx, func() { _ = s.Shutdown() })
	defer stop()
	return s.Serve(listener)
}

// announce sends the announcements of the backend server to its node.
func announce(ctx context.Context, egress, address string) {
	body, _ := json.Marshal(map[string]any{"service": service, "address": address, "slots": serverSlots, "connections": serverSlots})
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(http.MethodPost)
		request.SetRequestURI("http://" + egress + "/announce")
		request.SetBody(body)
		_ = fasthttp.DoTimeout(request, response, time.Second)
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func publishContract(ctx context.Context, m *mesh.Mesh) error {
	customerContract := contract.New(customer,
		contract.WithRate(1e6, 1e6), contract.WithRetries(1), contract.WithKeyWindow(time.Minute),
		contract.WithClass(contract.NewClass(service, "", "/", importance.Normal, true, deadline).WithName("echo")))
	if err := m.Publish(ctx, customerContract); err != nil {
		return err
	}
	return m.WaitUntil(ctx, func(n *node.Node) bool {
		s := n.Status(time.Now())
		return n.Ready() && (s.Present() || len(s.Members()) > 0)
	})
}

// compare makes the calls. Direct calls and calls through nodes alternate, so
// that both see the same state of the machine.
func compare(ctx context.Context, n int, gap time.Duration, direct, through string) (Latencies, error) {
	f := Latencies{
		Direct:   hdrhistogram.New(1, maxMicroseconds, significantDigits),
		ViaNodes: hdrhistogram.New(1, maxMicroseconds, significantDigits),
	}
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	for i := range n + warmUpCalls {
		for url, h := range map[string]*hdrhistogram.Histogram{direct: f.Direct, through: f.ViaNodes} {
			elapsed, err := call(client, url)
			if err != nil {
				return f, err
			}
			if i >= warmUpCalls {
				_ = h.RecordValue(min(elapsed.Microseconds(), maxMicroseconds))
			}
		}
		if err := pause.For(ctx, gap); err != nil {
			return f, err
		}
	}
	return f, nil
}

func call(client *fasthttp.Client, url string) (time.Duration, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.Set(gateway.HeaderCustomer, customer)
	start := time.Now()
	if err := client.DoTimeout(request, response, deadline); err != nil {
		return 0, err
	}
	elapsed := time.Since(start)
	if response.StatusCode() != http.StatusOK {
		return 0, &StatusError{url: url, status: response.StatusCode()}
	}
	return elapsed, nil
}
