package logserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/lab/logserver"
	"github.com/papayapath/papayapath/internal/lab/loopback"
)

// fasthttp starts one goroutine per process that updates the server date.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

type page struct {
	Generation, First, End uint64
	Records                []struct {
		Offset uint64
		ID     string
		Data   []byte
	}
}

type client struct {
	t    *testing.T
	base string
	http.Client
}

func start(t *testing.T, options ...logserver.Option) *client {
	t.Helper()
	listener, err := loopback.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = logserver.New(options...).Serve(ctx, listener) })
	c := &client{t: t, base: "http://" + listener.Address()}
	t.Cleanup(func() {
		c.CloseIdleConnections()
		cancel()
		group.Wait()
	})
	return c
}

func (c *client) post(path string, body any) (int, error) {
	data, err := json.Marshal(body)
	require.NoError(c.t, err)
	r, err := c.Post(c.base+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	return r.StatusCode, r.Body.Close()
}

func (c *client) append(id string) (int, error) {
	return c.post("/streams/s", map[string]any{"id": id, "data": []byte(id)})
}

func (c *client) read(query string) page {
	r, err := c.Get(c.base + "/streams/s?" + query)
	require.NoError(c.t, err)
	defer func() { _ = r.Body.Close() }()
	var p page
	require.NoError(c.t, json.NewDecoder(r.Body).Decode(&p))
	return p
}

func (c *client) faults(f logserver.Faults) {
	status, err := c.post("/faults", f)
	require.NoError(c.t, err)
	require.Equal(c.t, http.StatusNoContent, status)
}

func to[T any](v T) *T { return &v }

// Guards against gaps in offsets and records that a reader misses.
func TestReadReturnsAppendsInOrder(t *testing.T) {
	c := start(t)
	for _, id := range []string{"a", "b", "c"} {
		status, err := c.append(id)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	p := c.read("from=1&max=1")
	require.Equal(t, page{Generation: 1, First: 0, End: 3, Records: p.Records}, p)
	require.Len(t, p.Records, 1)
	require.Equal(t, uint64(1), p.Records[0].Offset)
	require.Equal(t, []byte("b"), p.Records[0].Data)
}

// Guards against a waiting read that does not return when its record is
// appended.
func TestReadWaitsForRecord(t *testing.T) {
	c := start(t)
	var group conc.WaitGroup
	var p page
	group.Go(func() { p = c.read("from=0&wait=20000") })
	_, err := c.append("late")
	require.NoError(t, err)
	group.Wait()
	require.Len(t, p.Records, 1)
	require.Empty(t, c.read("from=9&wait=1").Records)
}

// Guards against a log that accepts more appends per second than its limit.
func TestAppendsAreLimited(t *testing.T) {
	begin := time.Now()
	c := start(t, logserver.WithRate(1))
	accepted := 0
	for range 6 {
		status, err := c.append("a")
		require.NoError(t, err)
		if status == http.StatusOK {
			accepted++
		}
	}
	require.LessOrEqual(t, float64(accepted), 1+time.Since(begin).Seconds())
	require.Equal(t, uint64(accepted), c.read("").End, "a rejected append has no effect")
}

// Guards against records that are kept beyond the retention limits.
func TestRetention(t *testing.T) {
	c := start(t, logserver.WithRetention(2, time.Hour))
	for _, id := range []string{"a", "b", "c"} {
		_, err := c.append(id)
		require.NoError(t, err)
	}
	p := c.read("from=0")
	require.Equal(t, uint64(1), p.First)
	require.Equal(t, "b", p.Records[0].ID)

	aged := start(t, logserver.WithRetention(9, time.Nanosecond))
	_, err := aged.append("a")
	require.NoError(t, err)
	p = aged.read("from=0")
	require.Equal(t, []uint64{1, 1}, []uint64{p.First, p.End})
}

// Guards against faults that differ from their documented behavior.
func TestFaults(t *testing.T) {
	c := start(t)
	c.faults(logserver.Faults{LoseResponses: to(1)})
	_, err := c.append("lost")
	require.Error(t, err, "the response is lost")
	require.Equal(t, "lost", c.read("").Records[0].ID, "the append took effect")

	c.faults(logserver.Faults{Down: to(true)})
	_, err = c.append("down")
	require.Error(t, err)
	c.faults(logserver.Faults{Down: to(false), Delay: to(20)})
	begin := time.Now()
	require.Equal(t, uint64(1), c.read("").End, "an append to a log that is down has no effect")
	require.GreaterOrEqual(t, time.Since(begin), 20*time.Millisecond)

	c.faults(logserver.Faults{Delay: to(0), Trim: &logserver.Trim{Stream: "s", First: 1}})
	require.Equal(t, page{Generation: 1, First: 1, End: 1, Records: c.read("").Records}, c.read(""))
	c.faults(logserver.Faults{Generation: true})
	require.Equal(t, page{Generation: 2, Records: c.read("").Records}, c.read(""))
}
