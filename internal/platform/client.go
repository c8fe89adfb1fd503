package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/papayapath/papayapath/pkg/stream"
)

const (
	// maxAnswer bounds the bytes of one answer that the client keeps.
	maxAnswer = 64 << 20
	// maxReason bounds the bytes of a refusal that go into an error.
	maxReason = 256
	// idleConnections is the number of kept connections: one for a waiting
	// read of each of the three streams, and one for appends.
	idleConnections = 4
)

// Position is the place of a record in a stream.
type Position = stream.Position

// Batch is the result of one read of a stream.
type Batch = stream.Batch

// Record is one record of a stream.
type Record = stream.Record

// Client reads and appends records of the platform log. Its methods may be
// called at the same time. Time limits come from the context of each call.
type Client struct {
	base *url.URL
	http *http.Client
}

// Option sets a property of a Client.
type Option func(*Client)

// WithTransport replaces the HTTP transport. It must not send a POST request
// a second time once any byte of it was written.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = transport }
}

// New returns a client of the log at the base URL address. It returns an
// *AddressError if address is not an absolute HTTP URL.
func New(address string, options ...Option) (*Client, error) {
	base, err := url.Parse(address)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, &AddressError{address: address}
	}
	c := &Client{base: base, http: &http.Client{Transport: transport(), CheckRedirect: keepRedirect}}
	for _, o := range options {
		o(c)
	}
	return c, nil
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record to a stream and returns its position. A failure is a
// *RefusedError, an *UnavailableError (both: not appended) or an
// *InDoubtError (look the record up by id before sending it again).
func (c *Client) Append(ctx context.Context, name, id string, data []byte) (Position, error) {
	body, err := json.Marshal(appendRequest{ID: id, Data: data})
	if err != nil {
		return Position{}, &UnavailableError{stream: name, cause: err}
	}
	connected := &atomic.Bool{}
	status, answer, err := c.do(withTrace(ctx, connected), http.MethodPost, c.address(name, nil), body)
	if err != nil && !connected.Load() {
		return Position{}, &UnavailableError{stream: name, cause: err}
	}
	if err != nil {
		return Position{}, &InDoubtError{stream: name, id: id, cause: err}
	}
	if isRefusal(status) {
		return Position{}, &RefusedError{stream: name, status: status, reason: reason(answer)}
	}
	position, err := decodePosition(status, answer)
	if err != nil {
		return Position{}, &InDoubtError{stream: name, id: id, cause: err}
	}
	return position, nil
}

// Read returns at most limit records of a stream from offset from on. With a
// positive wait, the log holds the answer until a record at from exists or
// wait is over. A failure is a *RefusedError or an *UnavailableError.
func (c *Client) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	status, answer, err := c.do(ctx, http.MethodGet, c.address(name, query), nil)
	if err != nil {
		return Batch{}, &UnavailableError{stream: name, cause: err}
	}
	if isRefusal(status) {
		return Batch{}, &RefusedError{stream: name, status: status, reason: reason(answer)}
	}
	batch, err := decodeBatch(status, answer, from)
	if err != nil {
		return Batch{}, &UnavailableError{stream: name, cause: err}
	}
	return batch, nil
}

func (c *Client) address(name string, query url.Values) string {
	u := c.base.JoinPath("streams", url.PathEscape(name))
	u.RawQuery = query.Encode()
	return u.String()
}

func (c *Client) do(ctx context.Context, method, address string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("send request: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer: %w", err)
	}
	if len(answer) > maxAnswer {
		return 0, nil, &AnswerError{status: response.StatusCode, reason: "longer than 64 MiB"}
	}
	return response.StatusCode, answer, nil
}

// isRefusal reports whether a status proves that the request had no effect.
// A timeout reported by the log proves nothing.
func isRefusal(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusRequestTimeout
}

// withTrace sets connected as soon as the request has a connection. Before
// that, no byte of it can have reached the log.
func withTrace(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
}

// keepRedirect returns redirects as answers, because following one would send
// an append twice.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func transport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
}
