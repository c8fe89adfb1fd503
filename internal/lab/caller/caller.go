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
	// maxIdlePerHost bounds the idle connections to one address.
	maxIdlePerHost = 512
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Caller makes calls over kept connections. It uses net/http because the
// client of fasthttp can't end a call with its context.
type Caller struct{ client *http.Client }

// New returns a Caller without connections.
func New() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Request is a call to make.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Response is the whole answer to a call.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call. It returns an *Error if there is no answer or the answer
// breaks off.
func (c *Caller) Do(ctx context.Context, request Request) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, request.Method, request.URL, &nonRewindableBody{Reader: bytes.NewReader(request.Body)})
	if err != nil {
		return Response{}, &Error{url: request.URL, cause: err}
	}
	r.ContentLength = int64(len(request.Body))
	r.Header = request.Header
	answer, err := c.client.Do(r)
	if err != nil {
		return Response{}, &Error{url: request.URL, cause: err}
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return Response{}, &Error{url: request.URL, cause: err}
	}
	return Response{Status: answer.StatusCode, Header: answer.Header, Body: data}, nil
}

// nonRewindableBody is a request body of a type that net/http does not know. net/http
// sends a request again by itself if a kept connection breaks, but only if it
// can rewind the body; a second send would spoil the count of runs.
type nonRewindableBody struct{ *bytes.Reader }

// Close does nothing.
func (*nonRewindableBody) Close() error { return nil }

// Error reports a call without a whole answer.
type Error struct {
	url   string
	cause error
}

// Error names the address that was called.
func (e *Error) Error() string { return fmt.Sprintf("call of %s: %v", e.url, e.cause) }

// Unwrap returns the error of the HTTP client.
func (e *Error) Unwrap() error { return e.cause }
