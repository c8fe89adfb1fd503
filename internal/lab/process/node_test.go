package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/command"
	"github.com/papayapath/papayapath/internal/lab/caller"
	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/logserver"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/process"
	"github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/internal/settings"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/message"
)

const (
	nodes    = 3
	service  = "certify"
	customer = "gearboxes"
	deadline = 800 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"papayapath": func() { os.Exit(command.Main(os.Args[1:])) },
	})
}

// fixture consists of a log, three node processes and their backend servers.
type fixture struct {
	t         *testing.T
	log       string
	processes []*process.Node
	history   *history.History
	caller    *caller.Caller
	complete  atomic.Int64
}

func start(t *testing.T) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	listener, err := loopback.Listen()
	require.NoError(t, err)
	log := logserver.New()
	tasks.Go(func() { _ = log.Serve(ctx, listener) })
	b := &fixture{t: t, log: "http://" + listener.Address(), history: history.New(), caller: caller.New()}
	t.Cleanup(b.caller.Close)
	folder := t.TempDir()
	require.Zero(t, command.Main([]string{"keys", "-out", folder, "node"}))
	for range nodes {
		b.startNode(folder)
		s := server.New(service,
			server.WithNode(b.last().Settings().Backend), server.WithSlots(8, 64),
			server.WithRunTime(30*time.Millisecond, 0.5), server.WithHistory(b.history),
			server.WithPaths(server.Path{Prefix: "/", Size: 100}))
		own, err := loopback.Listen()
		require.NoError(t, err)
		tasks.Go(func() { _ = s.Run(ctx, own) })
	}
	b.publish()
	return b
}

func (b *fixture) last() *process.Node { return b.processes[len(b.processes)-1] }

func (b *fixture) startNode(folder string) {
	program, err := os.Executable()
	require.NoError(b.t, err)
	link := filepath.Join(folder, "papayapath") // testscript selects the command by the name of the executable
	_ = os.Symlink(program, link)
	n, err := process.Start(link, folder, settings.Settings{
		Region: "loopback", Domain: fmt.Sprintf("domain-%d", len(b.processes)),
		Callers: port(b.t), Backend: port(b.t), Peers: port(b.t), Operators: port(b.t),
		Log: b.log, Level: "error",
		Keys: settings.Keys{
			Certificate: filepath.Join(folder, "node.pem"), Key: filepath.Join(folder, "node.key"),
			Authority: filepath.Join(folder, "authority.pem"),
		},
	})
	require.NoError(b.t, err)
	b.processes = append(b.processes, n)
	b.t.Cleanup(n.Kill)
}

// port returns a loopback address with a port that was free when it was
// checked.
func port(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (b *fixture) publish() {
	client, err := platform.New(b.log)
	require.NoError(b.t, err)
	defer client.Close()
	customerContract := contract.New(customer,
		contract.WithRate(1000, 1000), contract.WithRetries(3), contract.WithKeyWindow(10*time.Minute),
		contract.WithClass(contract.NewClass(service, http.MethodPost, "/", importance.Critical, false, deadline).WithName("certify")))
	record := message.DeclarationRecord{Change: &message.Change{Operator: "test", Contracts: []contract.Document{customerContract.Document()}}}
	data, err := message.Encode(record)
	require.NoError(b.t, err)
	_, err = client.Append(b.t.Context(), declarations.Stream, "contract", data)
	require.NoError(b.t, err)
}

// certify sends a request with a new key up to five times through different
// nodes and records the outcomes.
func (b *fixture) certify(number int) bool {
	key := uuid.Must(uuid.NewV7()).String()
	root := fmt.Sprintf("check-%s", key)
	for attempt := 1; attempt <= 5; attempt++ {
		entry := b.processes[(number+attempt)%nodes].Settings().Callers
		header := make(http.Header)
		wire.Identity{Root: root, Attempt: attempt, WorkKey: key}.Write(header.Set)
		header.Set(wire.Customer, customer)
		header.Set(wire.Key, key)
		ctx, cancel := context.WithTimeout(b.t.Context(), deadline)
		response, err := b.caller.Do(ctx, caller.Request{
			Method: http.MethodPost, URL: "http://" + entry + "/" + service + "/", Header: header, Body: []byte(root),
		})
		cancel()
		if err == nil {
			b.history.Report(history.Report{
				Root: root, Attempt: attempt, Service: service, NotRun: response.Header.Get(wire.Outcome) == wire.NotRun,
			})
		}
		if err == nil && response.Status == http.StatusOK {
			b.complete.Add(1)
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// load sends requests at a steady rate for a duration and returns the fraction
// that succeeded.
func (b *fixture) load(d time.Duration) float64 {
	const rate = 50
	var group conc.WaitGroup
	var succeeded atomic.Int64
	total := int(d.Seconds() * rate)
	for i := range total {
		group.Go(func() {
			if b.certify(i) {
				succeeded.Add(1)
			}
		})
		time.Sleep(time.Second / rate)
	}
	group.Wait()
	return float64(succeeded.Load()) / float64(total)
}

// awaitService waits until every node serves requests with keys.
func (b *fixture) awaitService() {
	require.Eventually(b.t, func() bool { return b.certify(0) && b.certify(1) && b.certify(2) }, time.Minute, 100*time.Millisecond)
}

// Guards against duplicate runs when the process of a key's owner is suspended
// beyond its lease while keys are retried through the other nodes, and against
// an error of a node process that is stopped gracefully.
func TestPausedProcessRunsNothingTwice(t *testing.T) {
	b := start(t)
	b.awaitService()
	var group conc.WaitGroup
	group.Go(func() { b.load(8 * time.Second) })
	time.Sleep(time.Second)
	require.NoError(t, b.processes[0].Pause())
	time.Sleep(4 * time.Second)
	require.NoError(t, b.processes[0].Continue())
	group.Wait()
	verdict := checker.New(b.history)
	require.Zero(t, verdict.Duplicates)
	require.Zero(t, verdict.Falsehoods)
	require.Positive(t, b.complete.Load())
	b.awaitService()
	require.NoError(t, b.processes[1].Stop())
}
