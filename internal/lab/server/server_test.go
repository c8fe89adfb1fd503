package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/internal/lab/wire"
)

// fasthttp starts one goroutine per process that updates the server date.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// waitLimit bounds the time that a test waits for a condition. It is generous
// so that a slow machine causes no failures.
const waitLimit = 30 * time.Second

type fixture struct {
	t       *testing.T
	server  *server.Server
	history *history.History
	address string
	client  http.Client
}

func start(t *testing.T, options ...server.Option) *fixture {
	t.Helper()
	b := &fixture{t: t, history: history.New()}
	listener, err := loopback.Listen()
	require.NoError(t, err)
	b.address = listener.Address()
	options = append([]server.Option{
		server.WithHistory(b.history), server.WithRunTime(time.Millisecond, 0),
		server.WithPaths(server.Path{Prefix: "/days", Size: 1000}),
	}, options...)
	b.server = server.New("calendars", options...)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = b.server.Run(ctx, listener) })
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		group.Wait()
	})
	return b
}

// get sends a request. Header fields are given as name and value pairs.
func (b *fixture) get(ctx context.Context, path string, fields ...string) (*http.Response, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.address+path, http.NoBody)
	require.NoError(b.t, err)
	for i := 0; i < len(fields); i += 2 {
		request.Header.Set(fields[i], fields[i+1])
	}
	r, err := b.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	return r, string(body), err
}

func (b *fixture) status(path string, fields ...string) int {
	r, _, err := b.get(context.Background(), path, fields...)
	require.NoError(b.t, err)
	return r.StatusCode
}

func (b *fixture) eventually(what string, condition func() bool) {
	b.t.Helper()
	require.Eventually(b.t, condition, waitLimit, time.Millisecond, what)
}

func (b *fixture) running() int {
	n := 0
	for _, r := range b.history.Runs() {
		if r.End.IsZero() {
			n++
		}
	}
	return n
}

// Guards against responses that clients can't verify, and runs that are not
// counted.
func TestResponseIsCompleteAndCounted(t *testing.T) {
	b := start(t)
	r, body, err := b.get(context.Background(), "/days/7", wire.Root, "r1", wire.WorkKey, "k1")
	require.NoError(t, err)
	require.Len(t, body, 1000)
	require.Equal(t, answer.Complete, answer.Verify("calendars", "r1", r.Header.Get(wire.Checksum), []byte(body)))
	_, body, err = b.get(context.Background(), "/runs")
	require.NoError(t, err)
	require.JSONEq(t, `{"runs":1,"roots":{"r1":1},"keys":{"k1":1}}`, body)
	require.Equal(t, http.StatusNotFound, b.status("/other"))
}

// Guards against a server that accepts more requests than it has slots and
// connections.
func TestShedsAboveSlotsAndConnections(t *testing.T) {
	b := start(t, server.WithSlots(1, 1))
	b.server.SetPaused(true)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	for range 2 {
		group.Go(func() { _, _, _ = b.get(ctx, "/days") })
	}
	b.eventually("a third request is shed", func() bool {
		short, stop := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer stop()
		r, _, err := b.get(short, "/days")
		return err == nil && r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(wire.Shed) == "calendars"
	})
	cancel()
	group.Wait()
	b.server.SetPaused(false)
	b.eventually("canceled requests free their slots", func() bool { return b.status("/days") == http.StatusOK })
}

// Guards against a run that starts or responds after its deadline.
func TestDeadline(t *testing.T) {
	b := start(t)
	require.Equal(t, http.StatusGatewayTimeout, b.status("/days", wire.Deadline, deadlineIn(0)))
	require.Empty(t, b.history.Runs())
	b.server.SlowBy(float64(time.Hour / time.Millisecond))
	require.Equal(t, http.StatusGatewayTimeout, b.status("/days", wire.Deadline, deadlineIn(50)))
	require.Zero(t, b.running())
}

// Guards against a paused server that starts a run whose deadline has passed.
// A request that arrives after the pause still runs, so the pause is doubled
// until it exceeds the arrival delay.
func TestPausedServerRefusesLateStart(t *testing.T) {
	b := start(t)
	for pause := 20 * time.Millisecond; pause < waitLimit; pause *= 2 {
		before := len(b.history.Runs())
		b.server.SetPaused(true)
		var group conc.WaitGroup
		status := 0
		// The deadline passes during the pause, however late the request is sent.
		deadline := deadlineIn(10)
		group.Go(func() { status = b.status("/days", wire.Deadline, deadline) })
		time.Sleep(pause)
		b.server.SetPaused(false)
		group.Wait()
		if status == http.StatusGatewayTimeout {
			require.Len(t, b.history.Runs(), before)
			return
		}
	}
	require.Fail(t, "no late request was refused")
}

// Guards against a paused server that sends a response, and against a response
// after the deadline of the call.
func TestPausedServerRefusesLateWrite(t *testing.T) {
	b := start(t)
	b.server.SlowBy(float64(time.Hour / time.Millisecond))
	var status atomic.Int64
	var group conc.WaitGroup
	begin := time.Now()
	group.Go(func() { status.Store(int64(b.status("/days", wire.Deadline, deadlineIn(200)))) })
	b.eventually("the run starts", func() bool { return len(b.history.Runs()) == 1 })
	b.server.SetPaused(true)
	inTime := time.Since(begin) < 200*time.Millisecond
	b.eventually("the run ends at its deadline", func() bool { return b.running() == 0 })
	time.Sleep(20 * time.Millisecond)
	if inTime {
		require.Zero(t, status.Load(), "the server was paused before the deadline")
	}
	b.server.SetPaused(false)
	group.Wait()
	require.Equal(t, int64(http.StatusGatewayTimeout), status.Load())
}

// Guards against a server without slower runs just after its start.
func TestColdStart(t *testing.T) {
	b := start(t, server.WithColdStart(time.Hour, float64(time.Hour/time.Millisecond)))
	require.Equal(t, http.StatusGatewayTimeout, b.status("/days", wire.Deadline, deadlineIn(50)))
	require.Len(t, b.history.Runs(), 1)
}

// Guards against a run that continues after its caller has closed the
// connection.
func TestCancellation(t *testing.T) {
	b := start(t)
	b.server.SlowBy(float64(time.Hour / time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _, _, _ = b.get(ctx, "/days") })
	b.eventually("the run starts", func() bool { return b.running() == 1 })
	cancel()
	group.Wait()
	b.eventually("the run ends", func() bool { return b.running() == 0 })
}

// Guards against a response from a crashed server, and against a server that
// does not restart.
func TestCrash(t *testing.T) {
	b := start(t, server.WithRestartDelay(time.Millisecond))
	_, _, err := b.get(context.Background(), "/days", wire.Root, "r1", wire.Crash, "1")
	require.Error(t, err)
	require.Len(t, b.history.Runs(), 1)
	b.eventually("the server has restarted", func() bool {
		address := b.server.Address()
		back := address != "" && address != b.address
		if back {
			b.address = address
		}
		return back
	})
	require.Equal(t, http.StatusOK, b.status("/days"))
}

// Guards against a lag or a false health report that has no effect.
func TestReportLagAndFalseHealth(t *testing.T) {
	b := start(t, server.WithSlots(1, 9))
	hour, yes := int(time.Hour/time.Millisecond), true
	b.server.SlowBy(float64(time.Hour / time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _, _, _ = b.get(ctx, "/days") })
	b.eventually("the run starts", func() bool { return b.running() == 1 })
	load := func() string {
		_, body, err := b.get(context.Background(), "/load")
		require.NoError(t, err)
		return body
	}
	require.JSONEq(t, `{"load":1}`, load())
	b.server.Apply(server.Control{ReportLag: &hour})
	require.JSONEq(t, `{"load":0}`, load())
	zero := 0
	b.server.Apply(server.Control{ReportLag: &zero})
	require.JSONEq(t, `{"load":1}`, load())
	b.server.Apply(server.Control{ReportHealthy: &yes})
	require.JSONEq(t, `{"load":0}`, load())
	cancel()
	group.Wait()
}

// fakeNode is a fake of the node next to a server.
type fakeNode struct {
	announced chan map[string]any
	drained   chan struct{}
	calls     chan map[string]string
	status    int
}

func startFakeNode(t *testing.T) (*fakeNode, string) {
	listener, err := loopback.Listen()
	require.NoError(t, err)
	n := &fakeNode{
		announced: make(chan map[string]any, 100), drained: make(chan struct{}, 1),
		calls: make(chan map[string]string, 100),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = loopback.Serve(ctx, listener, n.handle) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return n, listener.Address()
}

func (n *fakeNode) handle(r *fasthttp.RequestCtx) {
	field := func(name string) string { return string(r.Request.Header.Peek(name)) }
	switch string(r.Path()) {
	case "/announce":
		var m map[string]any
		_ = json.Unmarshal(r.PostBody(), &m)
		n.announced <- m
	case "/drain":
		n.drained <- struct{}{}
	default:
		n.calls <- map[string]string{
			"path": string(r.Path()), "call": field(wire.Call), "root": field(wire.Root), "work": field(wire.WorkKey),
		}
		r.Response.Header.Set(wire.Reason, wire.Overload)
		r.SetStatusCode(http.StatusServiceUnavailable)
	}
}

// Guards against calls without the ID of their parent call, and against
// refusals by called services that are not recorded.
func TestStepsGoThroughNode(t *testing.T) {
	n, address := startFakeNode(t)
	steps := server.WithPaths(server.Path{Prefix: "/days", Steps: []server.Step{
		{Service: "proofs", Method: http.MethodPost, Path: "/files", NonRepeatable: true},
	}})
	for _, c := range []struct {
		want    string
		options []server.Option
	}{
		{"c9", nil},
		{"", []server.Option{server.WithoutCallHeader()}},
	} {
		b := start(t, append([]server.Option{server.WithNode(address), steps}, c.options...)...)
		require.Equal(t, http.StatusBadGateway, b.status("/days/7", wire.Root, "r1", wire.Call, "c9"))
		require.Equal(t, map[string]string{"path": "/proofs/files/7", "call": c.want, "root": "r1", "work": "r1//0"}, <-n.calls)
		require.Len(t, b.history.Refusals(), 1)
	}
}

// Guards against a server that does not announce itself or does not report
// that it drains.
func TestAnnouncesAndDrains(t *testing.T) {
	n, address := startFakeNode(t)
	b := start(t, server.WithNode(address), server.WithSlots(4, 30))
	require.Equal(t, map[string]any{
		"service": "calendars", "address": b.address, "slots": 4.0, "connections": 30.0,
	}, <-n.announced)
	<-n.announced
	require.NoError(t, b.server.Drain(context.Background()))
	<-n.drained
}

// deadlineIn returns the value of the Papayapath-Deadline field for a deadline
// ms milliseconds from now.
func deadlineIn(ms int) string {
	return strconv.FormatInt(time.Now().Add(time.Duration(ms)*time.Millisecond).UnixMilli(), 10)
}
