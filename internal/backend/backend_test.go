package backend_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/backend"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// sink keeps the body of an answer.
type sink struct {
	head *message.Head
	body []byte
}

func (s *sink) Head(h *message.Head) error {
	s.head = h
	return nil
}

func (s *sink) Data(p []byte) error {
	s.body = append(s.body, p...)
	return nil
}

func (s *sink) Answer(*message.Answer) error { return nil }

func serve(t *testing.T, handler http.HandlerFunc) *backend.Backend {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	b := backend.New(strings.TrimPrefix(server.URL, "http://"))
	t.Cleanup(b.Close)
	return b
}

func offer() *message.Offer {
	return &message.Offer{Method: http.MethodPost, Path: "/week?n=1", Remaining: 2 * time.Second, Attempt: 1, Key: "k1"}
}

// Guards against bodies that change on their way through the adapter, for
// known and unknown lengths and on reused connections.
func TestDoPassesWholeAnswers(t *testing.T) {
	long := strings.Repeat("drawing", 50_000)
	b := serve(t, func(w http.ResponseWriter, r *http.Request) {
		deadline, err := strconv.ParseInt(r.Header.Get("Papayapath-Deadline"), 10, 64)
		if err != nil || time.Until(time.UnixMilli(deadline)) > 2*time.Second {
			w.WriteHeader(http.StatusBadRequest)
		}
		if r.Header.Get("Idempotency-Key") != "k1" || r.URL.Query().Get("n") != "1" {
			w.WriteHeader(http.StatusBadRequest)
		}
		w.Header().Set("X-Unit", "mm")
		if r.Header.Get("X-Chunked") != "" {
			w.(http.Flusher).Flush()
		}
		_, _ = w.Write([]byte(long))
	})
	for _, chunked := range []bool{false, true, false} {
		o := offer()
		if chunked {
			o.Header = []message.Field{{Name: "X-Chunked", Value: "1"}}
		}
		var got sink
		answer := b.Do(t.Context(), o, time.Now().Add(o.Remaining), []byte("in"), &got)
		require.Equal(t, outcome.Complete, answer.Outcome)
		require.Equal(t, http.StatusOK, answer.Status)
		require.Equal(t, xxhash.Sum64String(long), answer.Digest)
		require.Equal(t, long, string(got.body))
		require.Contains(t, got.head.Header, message.Field{Name: "X-Unit", Value: "mm"})
	}
}

// Guards against a short body being taken for a whole answer.
func TestDoReportsBrokenAnswerAsUnknown(t *testing.T) {
	for name, reply := range map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf",
		"short chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no head":      "HTTP/1.1 20",
		"nothing":      "",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte(reply))
				_ = conn.Close()
			}()
			answer := backend.New(listener.Addr().String()).Do(t.Context(), offer(), time.Now().Add(time.Minute), nil, &sink{})
			require.Equal(t, outcome.Unknown, answer.Outcome)
			require.Equal(t, outcome.Crashed, answer.Reason)
		})
	}
}

// respondRaw returns a client of a server that sends response to the first call, and
// closes.
func respondRaw(t *testing.T, response string) *backend.Backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte(response))
		_ = conn.Close()
	}()
	return backend.New(listener.Addr().String())
}

// Guards against an answer with an invalid status that is passed on as one, 000 as
// success, or an interim response as the final one.
func TestDoReportsInvalidStatusAsUnknown(t *testing.T) {
	const fields = "\r\nContent-Length: 4\r\n\r\nbody"
	for start, expected := range map[string]int{
		"HTTP/1.1 000 OK":                              0,
		"HTTP/1.1 099 OK":                              0,
		"HTTP/1.1 20 OK":                               0,
		"HTTP/1.1 2000 OK":                             0,
		"HTTP/1.1 600 X":                               0,
		"HTTP/1.1 999 X":                               0,
		"HTTP/1.1 101 Switching Protocols":             0,
		"HTTP/1.1 102 Processing":                      0,
		"HTTP/2.0 200 OK":                              0,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK": 0,
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 404 Not Found": 404,
		"HTTP/1.1 599 X":                               599,
	} {
		var got sink
		answer := respondRaw(t, start+fields).Do(t.Context(), offer(), time.Now().Add(time.Minute), nil, &got)
		if expected != 0 {
			require.Equal(t, outcome.Complete, answer.Outcome, start)
			require.Equal(t, expected, answer.Status, start)
			continue
		}
		require.Equal(t, outcome.Unknown, answer.Outcome, start)
		require.Nil(t, got.head, start)
	}
}

// Guards against a run that goes on after its call was canceled or its
// deadline has passed.
func TestDoCancels(t *testing.T) {
	gone := make(chan struct{}, 2)
	b := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		gone <- struct{}{}
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	answer := b.Do(ctx, offer(), time.Now().Add(time.Minute), nil, &sink{})
	require.Equal(t, outcome.Unknown, answer.Outcome)
	require.Equal(t, outcome.Canceled, answer.Reason)
	<-gone
	o := offer()
	o.Remaining = 20 * time.Millisecond
	require.Equal(t, outcome.Expired, b.Do(t.Context(), o, time.Now().Add(o.Remaining), nil, &sink{}).Reason)
	<-gone
}

// Guards against "in doubt" where it is proved that nothing ran.
func TestDoWithoutBackendServerIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	answer := backend.New(address).Do(t.Context(), offer(), time.Now().Add(time.Minute), nil, &sink{})
	require.Equal(t, outcome.NotRun, answer.Outcome)
}
