package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maxIdlePerHost is the maximum number of idle connections to one address.
	maxIdlePerHost = 512
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 30 * time.Second
)

// Caller makes calls over persistent connections. It uses net/http because the
// fasthttp client can't cancel a call with a context.
type Caller struct{ client *http.Client }

// New returns a Caller with an empty connection pool.
func New() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Request is an HTTP call to make.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Response is the complete response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call. It returns an *Error if there is no response or the
// response is incomplete.
func (c *Caller) Do(ctx context.Context, request Request) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, request.URL, &nonRewindableBody{Reader: bytes.NewReader(request.Body)})
	if err != nil {
		return Response{}, &Error{url: request.URL, cause: err}
	}
	r.ContentLength = int64(len(request.Body))
	r.Header = request.Header
	response, err := c.client.Do(r)
	if err != nil {
		return Response{}, &Error{url: request.URL, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, &Error{url: request.URL, cause: err}
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: data}, nil
}

// nonRewindableBody is a request body that net/http can't rewind. When a
// reused connection breaks, net/http retries a request whose body it can
// rewind, which would be counted as a second run.
type nonRewindableBody struct{ *bytes.Reader }

// Close is a no-op.
func (*nonRewindableBody) Close() error { return nil }

// Error reports a call without a complete response.
type Error struct {
	url   string
	cause error
}

// Error returns the URL and the cause.
func (e *Error) Error() string { return fmt.Sprintf("call of %s: %v", e.url, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
