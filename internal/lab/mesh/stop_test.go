package mesh_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/mesh"
	"github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/node"
)

// Guards against a graceful stop that aborts requests in flight: those of
// callers at the stopping node, and those that other nodes run on its backend
// server. The calls are not retried, so an aborted call fails.
func TestStopCutsNothing(t *testing.T) {
	for name, entry := range map[string]int{"callers of the node": 0, "callers of another node": 1} {
		t.Run(name, func(t *testing.T) { stopUnderLoad(t, entry) })
	}
}

// stopUnderLoad stops the first of two nodes while requests sent to the node
// with index entry are in flight.
func stopUnderLoad(t *testing.T, entry int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m, err := mesh.Start(ctx, 2)
	require.NoError(t, err)
	var servers conc.WaitGroup
	t.Cleanup(func() {
		_ = m.Stop()
		cancel()
		servers.Wait()
	})
	for _, r := range m.Nodes() {
		listener, err := loopback.Listen()
		require.NoError(t, err)
		s := server.New("drawings", server.WithNode(r.Egress()), server.WithSlots(32, 32),
			server.WithRunTime(600*time.Millisecond, 0), server.WithPaths(server.Path{Prefix: "/", Size: 2 << 20}))
		servers.Go(func() { _ = s.Run(ctx, listener) })
	}
	require.NoError(t, m.Publish(ctx, contract.New("pumps",
		contract.WithRate(1e4, 1e4), contract.WithKeyWindow(time.Minute),
		contract.WithClass(contract.NewClass("drawings", "", "/", importance.Normal, true, 10*time.Second).WithName("bundles")))))
	require.NoError(t, m.WaitUntil(ctx, func(n *node.Node) bool { return n.Serving(2) }))
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			status, outcome, body := call(t, m.Nodes()[entry].Callers(), http.MethodGet, "/drawings/x", "pumps", "")
			if status != http.StatusOK || len(body) < 2<<20 {
				t.Errorf("request %d: status %d, %s, %d bytes", i, status, outcome, len(body))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	m.Nodes()[0].View(func(n *node.Node) {
		require.Positive(t, n.Status(time.Now()).Server().Running(), "no call is running at the stopping node")
	})
	stopCtx, cancelStop := context.WithTimeout(ctx, 20*time.Second)
	defer cancelStop()
	require.NoError(t, m.Nodes()[0].Stop(stopCtx))
	wait.Wait()
	status, outcome, _ := call(t, m.Nodes()[1].Callers(), http.MethodGet, "/drawings/x", "pumps", "")
	require.Equal(t, http.StatusOK, status, outcome)
}
