package mesh_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/deployment"
	"github.com/papayapath/papayapath/internal/lab/experiment"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/mesh"
	"github.com/papayapath/papayapath/internal/lab/wire"
)

// fixture is a running deployment behind a variant.
type fixture struct {
	entries []string
	history *history.History
}

// startVariant runs a deployment behind a variant until the test ends.
func startVariant(t *testing.T, v experiment.Variant, d *deployment.Deployment) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	m, err := v.Start(ctx, d)
	require.NoError(t, err)
	b := &fixture{entries: m.CallerAddresses, history: history.New()}
	var servers conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		servers.Wait()
		_ = m.Stop()
	})
	for i, backend := range m.BackendAddresses {
		listener, err := loopback.Listen()
		require.NoError(t, err)
		s := d.Server(i, backend, 1, b.history)
		servers.Go(func() { _ = s.Run(ctx, listener) })
	}
	if m.WaitReady != nil {
		readyCtx, cancelReady := context.WithTimeout(ctx, 20*time.Second)
		defer cancelReady()
		require.NoError(t, m.WaitReady(readyCtx))
	}
	time.Sleep(300 * time.Millisecond) // wait for the first announcements
	return b
}

// send sends a request of a class and returns the status and body of the
// response.
func (b *fixture) send(t *testing.T, entry int, customer string, class load.Class, identity wire.Identity) (int, string) {
	t.Helper()
	body := io.Reader(http.NoBody)
	if class.Method != http.MethodGet {
		body = strings.NewReader(identity.Root)
	}
	url := "http://" + b.entries[entry%len(b.entries)] + "/" + class.Service + class.Path
	request, err := http.NewRequestWithContext(t.Context(), class.Method, url, body)
	require.NoError(t, err)
	identity.Write(request.Header.Set)
	request.Header.Set(wire.Customer, customer)
	request.Header.Set(wire.Request, identity.Root)
	if class.NonRepeatable {
		request.Header.Set(wire.Key, identity.WorkKey)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(answer)
}

// Guards against nodes that modify responses. Without faults, callers must
// receive the same responses as through the naive proxy.
func TestSameAnswersWithoutFaults(t *testing.T) {
	d := deployment.Nilegear()
	nodes := startVariant(t, mesh.Variant(), d)
	naive := startVariant(t, experiment.Naive(), d)
	for i, c := range d.Customers() {
		for _, class := range c.Classes {
			key := uuid.Must(uuid.NewV7()).String()
			identity := wire.Identity{Root: "same-" + key, Attempt: 1}
			if class.NonRepeatable {
				identity.WorkKey = key
			}
			status, answer := nodes.send(t, i, c.Name, class, identity)
			wantStatus, want := naive.send(t, i, c.Name, class, identity)
			require.Equal(t, http.StatusOK, status, class.Path)
			require.Equal(t, wantStatus, status)
			require.Equal(t, want, answer)
		}
	}
	require.Equal(t, checker.Verdict{}, checker.New(nodes.history))
}

// Guards against a second run of a non-repeatable call whose server crashes
// before it responds. The naive proxy must show duplicates, which proves that
// the check can fail.
func TestLostAnswerRunsOnce(t *testing.T) {
	d := deployment.Nilegear()
	for name, v := range map[string]experiment.Variant{"nodes": mesh.Variant(), "naive": experiment.Naive()} {
		b := startVariant(t, v, d)
		c := d.Customers()[0]
		for _, class := range c.Classes {
			if !class.NonRepeatable {
				continue
			}
			key := uuid.Must(uuid.NewV7()).String()
			identity := wire.Identity{Root: "lost-" + key, Attempt: 1, WorkKey: key, Crash: true}
			status, _ := b.send(t, 0, c.Name, class, identity)
			require.NotEqual(t, http.StatusOK, status)
		}
		duplicates := checker.New(b.history).Duplicates
		if name == "naive" {
			require.Positive(t, duplicates)
		} else {
			require.Zero(t, duplicates)
			require.NotEmpty(t, b.history.Runs())
		}
	}
}
