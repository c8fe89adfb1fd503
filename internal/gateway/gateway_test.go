package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/exchange"
	"github.com/papayapath/papayapath/internal/gateway"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// calls is a node that hands each exchange to a function.
type calls struct {
	serve    func(*gateway.Request, *exchange.Exchange)
	canceled chan struct{} // closed when a call is canceled
	once     sync.Once
}

func (c *calls) Call(r *gateway.Request) (*exchange.Exchange, func()) {
	e := exchange.New(r.Body)
	e.Begin(1)
	go c.serve(r, e)
	return e, func() {
		c.once.Do(func() { close(c.canceled) })
		e.Finish(&message.Answer{Outcome: outcome.Unknown, Reason: outcome.Canceled})
	}
}

func listen(t *testing.T, serve func(*gateway.Request, *exchange.Exchange)) (string, *calls) {
	t.Helper()
	c := &calls{serve: serve, canceled: make(chan struct{})}
	g, err := gateway.Listen("127.0.0.1:0", c)
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = g.Close(ctx)
	})
	return "http://" + g.Address(), c
}

func do(t *testing.T, method, url string, header http.Header, body []byte) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	require.NoError(t, err)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

// Guards against requests that are read wrongly, and against header fields of
// the protocol that a caller could pass on to backend servers.
func TestRequestIsRead(t *testing.T) {
	seen := make(chan *gateway.Request, 1)
	base, _ := listen(t, func(r *gateway.Request, e *exchange.Exchange) {
		seen <- r
		e.Finish(&message.Answer{Outcome: outcome.NotRun, Reason: outcome.Rate})
	})
	header := http.Header{
		"Papayapath-Customer": {"quimper"}, "Idempotency-Key": {"k"}, "Papayapath-Request": {"r"},
		"Papayapath-Timeout": {"250"}, "Papayapath-Call": {"forged"}, "X-Unit": {"mm"},
	}
	response, _, err := do(t, http.MethodPost, base+"/calendars/week/3?n=2", header, []byte("body"))
	require.NoError(t, err)
	require.Equal(t, http.StatusTooManyRequests, response.StatusCode)
	require.Equal(t, "notrun", response.Header.Get("Papayapath-Outcome"))
	require.Equal(t, "rate", response.Header.Get("Papayapath-Reason"))
	r := <-seen
	require.Equal(t, []any{"calendars", "/week/3?n=2", "POST", "quimper", "k", "r", "", 250 * time.Millisecond, "body"},
		[]any{r.Service, r.Path, r.Method, r.Customer, r.Key, r.Root, r.Parent, r.Timeout, string(r.Body)})
	require.Contains(t, r.Header, message.Field{Name: "X-Unit", Value: "mm"})
	for _, f := range r.Header {
		require.NotContains(t, f.Name, "Papayapath-")
	}
}

// Guards against faulty requests that reach the node, and against refusals
// without the documented status and outcome.
func TestFaultyRequests(t *testing.T) {
	base, _ := listen(t, func(*gateway.Request, *exchange.Exchange) { t.Error("a faulty request reached the node") })
	for name, test := range map[string]struct {
		path   string
		header http.Header
		body   []byte
		status int
		reason string
	}{
		"no service":    {"/", nil, nil, http.StatusBadRequest, "malformed"},
		"bad timeout":   {"/s/", http.Header{"Papayapath-Timeout": {"soon"}}, nil, http.StatusBadRequest, "malformed"},
		"zero timeout":  {"/s/", http.Header{"Papayapath-Timeout": {"0"}}, nil, http.StatusBadRequest, "malformed"},
		"large body":    {"/s/", nil, make([]byte, message.MaxBodyBytes+1), http.StatusRequestEntityTooLarge, "toolarge"},
		"negative time": {"/s/", http.Header{"Papayapath-Timeout": {"-1"}}, nil, http.StatusBadRequest, "malformed"},
	} {
		t.Run(name, func(t *testing.T) {
			response, _, err := do(t, http.MethodPost, base+test.path, test.header, test.body)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, "notrun", response.Header.Get("Papayapath-Outcome"))
			require.Equal(t, test.reason, response.Header.Get("Papayapath-Reason"))
		})
	}
}

// Guards against a request that the HTTP library could not read and that runs
// without its body. Its caller may see the connection close.
func TestUnreadableRequestReachesNoNode(t *testing.T) {
	base, _ := listen(t, func(*gateway.Request, *exchange.Exchange) { t.Error("an unread request reached the node") })
	response, _, err := do(t, http.MethodPost, base+"/s/", nil, make([]byte, 4*message.MaxBodyBytes))
	if err == nil {
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	}
}

// Guards against a long answer that breaks off and looks whole to its caller,
// whether or not its length was known.
func TestBrokenAnswerCutsConnection(t *testing.T) {
	for _, length := range []int64{-1, 3 * message.MaxBufferedBytes} {
		base, _ := listen(t, func(_ *gateway.Request, e *exchange.Exchange) {
			_ = e.Start(1, &message.Head{Status: http.StatusOK, Length: length})
			_ = e.Data(1, make([]byte, 2*message.MaxBufferedBytes))
			e.Finish(&message.Answer{Outcome: outcome.Unknown, Reason: outcome.Broken})
		})
		_, _, err := do(t, http.MethodGet, base+"/drawings/x", nil, nil)
		require.Error(t, err)
	}
}

// Guards against GONE: work goes on after its caller has closed its connection, because
// a further request is unread.
func TestGoneCallerWithUnreadRequestCancels(t *testing.T) {
	base, c := listen(t, func(*gateway.Request, *exchange.Exchange) {})
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET /drawings/x HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(conn, "GET /drawings/y HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	select {
	case <-c.canceled:
		t.Fatal("the call was canceled, though its caller stays")
	default:
	}
	require.NoError(t, conn.Close())
	select {
	case <-c.canceled:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the call was not canceled")
	}
}

// Guards against work that goes on after its caller has closed its connection.
func TestGoneCallerCancels(t *testing.T) {
	base, c := listen(t, func(*gateway.Request, *exchange.Exchange) {})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/drawings/x", http.NoBody)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	if response != nil {
		_ = response.Body.Close()
	}
	require.True(t, errors.Is(err, context.DeadlineExceeded))
	select {
	case <-c.canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the call was not canceled")
	}
}
