package mesh_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/mesh"
	"github.com/papayapath/papayapath/internal/runtime"
	"github.com/papayapath/papayapath/internal/trace"
	"github.com/papayapath/papayapath/pkg/node"
)

// start runs a deployment with its backend servers until the test ends.
func start(t *testing.T, d *deployment.Deployment, options ...runtime.Option) *mesh.Mesh {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m, err := mesh.Start(ctx, len(d.Placements()), options...)
	require.NoError(t, err)
	var servers conc.WaitGroup
	t.Cleanup(func() {
		require.NoError(t, m.Stop())
		cancel()
		servers.Wait()
	})
	for i, r := range m.Nodes() {
		listener, err := loopback.Listen()
		require.NoError(t, err)
		s := d.Server(i, r.Egress(), 1, history.New())
		servers.Go(func() { _ = s.Run(ctx, listener) })
	}
	require.NoError(t, m.Publish(ctx, d.Contracts()...))
	readyCtx, cancelReady := context.WithTimeout(ctx, 15*time.Second)
	defer cancelReady()
	require.NoError(t, m.WaitUntil(readyCtx, func(n *node.Node) bool { return n.Serving(len(d.Placements())) }))
	return m
}

// call sends a request and returns the status, outcome and body of the
// response.
func call(t *testing.T, entry string, method, path, customer, key string) (int, string, []byte) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+entry+path, http.NoBody)
	require.NoError(t, err)
	request.Header.Set("Papayapath-Customer", customer)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Papayapath-Outcome") + " " + response.Header.Get("Papayapath-Reason"), body
}

// Guards against requests that fail end to end. Requests of every class, with
// a call depth of four, are sent to every node with tracing enabled.
func TestRequestsAtEveryNode(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	d := deployment.Regie()
	m := start(t, d, runtime.WithTracer(trace.New("mesh", exporter)))
	time.Sleep(2500 * time.Millisecond) // wait for the lease of a new owner table
	for _, r := range m.Nodes() {
		for _, c := range d.Customers() {
			for _, class := range c.Classes {
				key := ""
				if class.NonRepeatable {
					key = uuid.Must(uuid.NewV7()).String()
				}
				status, outcome, body := call(t, r.Callers(), class.Method, "/"+class.Service+class.Path, c.Name, key)
				require.Equal(t, http.StatusOK, status, "%s %s: %s", class.Method, class.Path, outcome)
				require.NotEmpty(t, body)
			}
		}
	}
}
