package loopback_test

import (
	"context"
	"net"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/lab/loopback"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// Guards against a lab that listens on, or connects to, addresses of other
// instances.
func TestOnlyLoopback(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "10.0.0.1:80", "[::]:0", "localhost:0", ""} {
		var refused *loopback.ListenError
		_, err := loopback.ListenAt(address)
		require.ErrorAs(t, err, &refused, address)
	}
}

// Guards against a stopped server that keeps idle connections open.
func TestServeClosesConnections(t *testing.T) {
	listener, err := loopback.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = loopback.Serve(ctx, listener, func(*fasthttp.RequestCtx) {}) })
	c, err := net.Dial("tcp", listener.Address())
	require.NoError(t, err)
	cancel()
	group.Wait()
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, c.Close())
}
