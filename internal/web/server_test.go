package web_test

import (
	"context"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/web"
)

// Guards against a server that is closed right after its start and then never
// ends, as when another port of the node is in use.
func TestCloseAtOnce(t *testing.T) {
	for range 50 {
		s, err := web.Listen("127.0.0.1:0", fiber.New())
		require.NoError(t, err)
		_, err = web.Listen(s.Address(), fiber.New())
		var used *web.ListenError
		require.ErrorAs(t, err, &used)
		done := make(chan struct{})
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			defer close(done)
			require.NoError(t, s.Close(ctx))
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("Close did not return")
		}
	}
}
