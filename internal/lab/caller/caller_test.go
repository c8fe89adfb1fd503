package caller_test

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
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// Guards against automatic retries by net/http when a reused connection
// breaks. The checkers would count the retry as a second run.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	var requests atomic.Int64
	listener, err := loopback.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() {
		_ = loopback.Serve(ctx, listener, func(r *fasthttp.RequestCtx) {
			if requests.Add(1)%2 == 0 {
				loopback.CloseWithoutResponse(r)
			}
		})
	})
	c := caller.New()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for i := range 2 {
			_, err := c.Do(ctx, caller.Request{
				Method: method, URL: "http://" + listener.Address() + "/",
				Header: http.Header{"Idempotency-Key": {"k"}},
			})
			require.Equal(t, i == 1, err != nil, method)
		}
	}
	require.Equal(t, int64(4), requests.Load())
	c.Close()
	cancel()
	group.Wait()
}
