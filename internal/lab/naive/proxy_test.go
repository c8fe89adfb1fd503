package naive_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/lab/caller"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/naive"
)

// The cleaner goroutines of the fasthttp client end by themselves after 10 s.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

type fixture struct {
	t       *testing.T
	ctx     context.Context
	group   *conc.WaitGroup
	caller  *caller.Caller
	callers string
	backend string
}

func start(t *testing.T) *fixture {
	callers, err := loopback.Listen()
	require.NoError(t, err)
	backend, err := loopback.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	b := &fixture{
		t: t, ctx: ctx, group: &conc.WaitGroup{}, caller: caller.New(),
		callers: callers.Address(), backend: backend.Address(),
	}
	b.group.Go(func() { _ = naive.New(naive.NewRegistry()).Serve(ctx, callers, backend) })
	t.Cleanup(func() {
		b.caller.Close()
		cancel()
		b.group.Wait()
	})
	return b
}

// server starts a server that announces itself and answers with a status.
func (b *fixture) server(status int, requests *atomic.Int64) string {
	listener, err := loopback.Listen()
	require.NoError(b.t, err)
	b.group.Go(func() {
		_ = loopback.Serve(b.ctx, listener, func(r *fasthttp.RequestCtx) {
			requests.Add(1)
			r.Response.Header.Set("Seen", string(r.RequestURI())+" "+string(r.Request.Header.Peek("Field")))
			r.SetStatusCode(status)
		})
	})
	b.notify("/announce", listener.Address())
	return listener.Address()
}

func (b *fixture) notify(path, address string) {
	r := b.call("http://"+b.backend+path, `{"service":"s","address":"`+address+`"}`)
	require.Equal(b.t, http.StatusOK, r.Status)
}

func (b *fixture) call(url, body string) caller.Response {
	r, err := b.caller.Do(b.ctx, caller.Request{
		Method: http.MethodPost, URL: url, Header: http.Header{"Field": {"v"}}, Body: []byte(body),
	})
	require.NoError(b.t, err)
	return r
}

// Guards against an uneven distribution over the servers, and against calls
// that lose their path or header.
func TestRoundRobin(t *testing.T) {
	b := start(t)
	var first, second atomic.Int64
	b.server(http.StatusOK, &first)
	address := b.server(http.StatusOK, &second)
	for _, port := range []string{b.callers, b.backend} {
		for range 4 {
			r := b.call("http://"+port+"/s/a/b?c=d", "")
			require.Equal(t, "/a/b?c=d v", r.Header.Get("Seen"))
		}
	}
	require.Equal(t, []int64{4, 4}, []int64{first.Load(), second.Load()})
	b.notify("/drain", address)
	b.call("http://"+b.callers+"/s/a", "")
	b.call("http://"+b.callers+"/s/a", "")
	require.Equal(t, []int64{6, 4}, []int64{first.Load(), second.Load()})
}

// Guards against more or fewer retries than the experiment specifies.
func TestThreeRetries(t *testing.T) {
	b := start(t)
	var requests atomic.Int64
	b.server(http.StatusServiceUnavailable, &requests)
	r := b.call("http://"+b.callers+"/s/a", "")
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	require.Equal(t, int64(4), requests.Load())
	require.Equal(t, http.StatusServiceUnavailable, b.call("http://"+b.callers+"/none/a", "").Status)
}
