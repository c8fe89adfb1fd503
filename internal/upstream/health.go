package upstream

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/pkg/memory"
)

const (
	// maxHealthBody bounds the body of a health check's response, in bytes. The body
	// is not used.
	maxHealthBody = 64 << 10
	// maxHealthAttempts is the number of connections that a server may close before
	// it answers a health check on one. It does so while it has too many.
	maxHealthAttempts = 5
)

// CheckHealth requests the server's health check over a new connection and passes the
// header of the response to read. What begins as a response is not asked for again.
func CheckHealth(ctx context.Context, address, path string, timeout time.Duration, read func(h *fasthttp.ResponseHeader)) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + path)
	req.SetConnectionClose()
	var h fasthttp.ResponseHeader
	deadline := time.Now().Add(timeout)
	for attempt := 1; ; attempt++ {
		answered, err := exchangeOnce(ctx, address, req, &h, deadline)
		if err == nil {
			read(&h)
			return nil
		}
		if answered || attempt == maxHealthAttempts || !time.Now().Before(deadline) {
			return err
		}
	}
}

// exchangeOnce sends a request over a new connection and reads the response. answered
// reports whether a further attempt is of no use.
func exchangeOnce(ctx context.Context, address string, req *fasthttp.Request, h *fasthttp.ResponseHeader, deadline time.Time) (answered bool, err error) {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return true, err
	}
	defer conn.Close() //nolint:errcheck // the connection is not used again
	if err := conn.SetDeadline(deadline); err != nil {
		return true, err
	}
	if _, err := req.WriteTo(conn); err != nil {
		return false, err
	}
	r := bufio.NewReaderSize(conn, readBufferSize)
	if _, err := r.Peek(1); err != nil {
		return false, err
	}
	unclaimed := func(bool) *memory.Claim { return nil }
	body, err := framing.ReadResponse(r, h, false, maxHealthBody, unclaimed)
	body.Release()
	return true, err
}
