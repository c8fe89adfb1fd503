package load_test

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/loopback"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/importance"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

// requests is the number of requests that a test waits for.
const requests = 20

// receivedRequest holds the fields of one attempt as received by an entry.
type receivedRequest struct{ customer, root, key, attempt, body string }

// writeResponse writes the complete response to a request.
func writeResponse(r *fasthttp.RequestCtx, root string) {
	a := answer.New("reservations", root, 100)
	r.Response.Header.Set(wire.Checksum, a.Checksum())
	r.SetBody(a.Body())
}

// runGenerator runs a generator against an entry until enough requests have
// arrived and all have ended. It returns the received attempts.
func runGenerator(t *testing.T, h *history.History, handle func(r *fasthttp.RequestCtx, s receivedRequest)) []receivedRequest {
	t.Helper()
	listener, err := loopback.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	arrivalCtx, stopArrivals := context.WithCancel(ctx)
	var mu sync.Mutex
	var all []receivedRequest
	first := 0
	var group conc.WaitGroup
	group.Go(func() {
		_ = loopback.Serve(ctx, listener, func(r *fasthttp.RequestCtx) {
			field := func(name string) string { return string(r.Request.Header.Peek(name)) }
			s := receivedRequest{field(wire.Customer), field(wire.Root), field(wire.Key), field(wire.Attempt), string(r.PostBody())}
			mu.Lock()
			all = append(all, s)
			if s.attempt == "1" {
				first++
			}
			if first == requests {
				stopArrivals()
			}
			mu.Unlock()
			handle(r, s)
		})
	})
	load.New(7, []string{listener.Address()}, h, load.Customer{
		Name: "commune", Rate: 500, MaxRetries: 2,
		Classes: []load.Class{{
			Service: "reservations", Method: http.MethodPost, Path: "/campaigns", Weight: 1,
			Importance: importance.Critical, NonRepeatable: true, Deadline: time.Minute,
		}},
	}).Run(ctx, arrivalCtx)
	cancel()
	group.Wait()
	return all
}

// Guards against responses that are lost or not counted.
func TestCompleteResponses(t *testing.T) {
	h := history.New()
	all := runGenerator(t, h, func(r *fasthttp.RequestCtx, s receivedRequest) { writeResponse(r, s.root) })
	require.GreaterOrEqual(t, len(all), requests)
	require.Len(t, h.Requests(), len(all))
	for _, r := range h.Requests() {
		require.True(t, r.InTime())
		require.Equal(t, importance.Critical, h.Importances()[r.Root])
	}
	require.Equal(t, len(all), h.VerdictCount(answer.Complete))
	_, err := uuid.Parse(all[0].key)
	require.NoError(t, err)
	require.Equal(t, "commune", all[0].customer)
}

// Guards against a retry that is sent as a new request.
func TestRetryKeepsKeyAndBody(t *testing.T) {
	h := history.New()
	sends := make(map[string][]receivedRequest)
	for _, s := range runGenerator(t, h, func(r *fasthttp.RequestCtx, s receivedRequest) {
		if s.attempt == "1" {
			r.SetStatusCode(http.StatusServiceUnavailable)
			return
		}
		writeResponse(r, s.root)
	}) {
		sends[s.root] = append(sends[s.root], s)
	}
	for _, s := range sends {
		require.Len(t, s, 2)
		require.Equal(t, []string{"1", "2"}, []string{s[0].attempt, s[1].attempt})
		s[1].attempt = "1"
		require.Equal(t, s[0], s[1])
	}
	require.True(t, h.Requests()[0].Complete())
}

// Guards against unlimited retries, and against retries of requests whose
// response can't change.
func TestRetriesAreBounded(t *testing.T) {
	for outcome, sends := range map[string]int{"unknown": 3, wire.Complete: 1} {
		h := history.New()
		all := runGenerator(t, h, func(r *fasthttp.RequestCtx, _ receivedRequest) {
			r.Response.Header.Set(wire.Outcome, outcome)
			r.SetStatusCode(http.StatusGatewayTimeout)
		})
		require.Len(t, all, sends*len(h.Requests()))
		require.False(t, h.Requests()[0].Complete())
	}
}

// Each entry has one fault. Guards against a client that does not detect or
// report the fault.
func TestFaultyEntries(t *testing.T) {
	for name, c := range map[string]struct {
		handle func(h *history.History, r *fasthttp.RequestCtx, s receivedRequest)
		count  func(v checker.Verdict) int
	}{
		"partial": {
			func(_ *history.History, r *fasthttp.RequestCtx, s receivedRequest) {
				writeResponse(r, s.root)
				r.SetBody(r.Response.Body()[:50])
			},
			func(v checker.Verdict) int { return v.Partials },
		},
		"foreign": {
			func(_ *history.History, r *fasthttp.RequestCtx, _ receivedRequest) { writeResponse(r, "other") },
			func(v checker.Verdict) int { return v.Foreign },
		},
		"false notrun": {
			func(h *history.History, r *fasthttp.RequestCtx, s receivedRequest) {
				attempt, _ := strconv.Atoi(s.attempt)
				h.Start(history.Run{Service: "reservations", Identity: wire.Identity{Root: s.root, Attempt: attempt}})
				r.Response.Header.Set(wire.Outcome, wire.NotRun)
				r.SetStatusCode(http.StatusServiceUnavailable)
			},
			func(v checker.Verdict) int { return v.Falsehoods },
		},
		"inversion": {
			func(h *history.History, r *fasthttp.RequestCtx, _ receivedRequest) {
				h.RecordImportance("low", importance.Normal)
				h.Start(history.Run{Service: "reservations", Identity: wire.Identity{Root: "low"}, Start: time.Now()})
				r.Response.Header.Set(wire.Reason, wire.Overload)
				r.SetStatusCode(http.StatusServiceUnavailable)
			},
			func(v checker.Verdict) int { return v.Inversions },
		},
	} {
		h := history.New()
		all := runGenerator(t, h, func(r *fasthttp.RequestCtx, s receivedRequest) { c.handle(h, r, s) })
		require.Equal(t, len(all), c.count(checker.New(h)), name)
	}
}

// Guards against load that does not follow the rate. The count of a Poisson
// process has a standard deviation equal to the square root of its mean.
func TestRateFollowsDisturbance(t *testing.T) {
	for _, factor := range []float64{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			h := history.New()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			g := load.New(1, []string{"127.0.0.1:1"}, h, load.Customer{
				Name: "commune", Rate: 30,
				Classes: []load.Class{{Service: "s", Method: http.MethodGet, Weight: 1, Deadline: time.Second}},
			})
			var group conc.WaitGroup
			group.Go(func() {
				time.Sleep(5 * time.Second)
				g.SetLoad(factor, true)
			})
			g.Run(context.Background(), ctx)
			group.Wait()
			want := 5*30 + 5*30*factor
			require.InDelta(t, want, float64(len(h.Requests())), 5*math.Sqrt(want))
		})
	}
}

// Guards against runs that differ although they have the same seed.
func TestSeedRepeatsArrivals(t *testing.T) {
	arrivals := func(seed uint64) (times []time.Duration) {
		synctest.Test(t, func(*testing.T) {
			h := history.New()
			begin := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			load.New(seed, []string{"127.0.0.1:1"}, h, load.Customer{
				Name: "commune", Rate: 50,
				Classes: []load.Class{{Service: "s", Method: http.MethodGet, Weight: 1, Deadline: time.Second}},
			}).Run(context.Background(), ctx)
			for _, r := range h.Requests() {
				times = append(times, r.Arrived.Sub(begin))
			}
		})
		return times
	}
	require.Equal(t, arrivals(1), arrivals(1))
	require.NotEqual(t, arrivals(1), arrivals(2))
}
