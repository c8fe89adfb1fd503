package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const host = "one.example"

// request is a request of a client, and how it ended.
type request struct {
	id, method, path string
	body             string
	deadline         time.Duration

	node   string    // that received it
	sent   time.Time // end of its last byte; zero if it was not sent
	ended  time.Time
	status int // 0 without a whole answer
	seal   string
	isGone bool // the sender left first
	err    error
}

// send sends a request on a connection of its own and waits for its end. The sender leaves
// when ctx ends, or at the deadline.
func (w *world) send(ctx context.Context, n *node, q request) request {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", n.callers())
	if err != nil {
		q.node, q.ended, q.err = n.ip, time.Now(), err
		w.record.note("%s %s %s at %s: %v", q.id, q.method, q.path, n.ip, err)
		w.record.add(&q)
		return q
	}
	return w.sendOn(ctx, conn, n, q)
}

// sendOn is send on a connection that is open.
func (w *world) sendOn(ctx context.Context, conn net.Conn, n *node, q request) request {
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	q.node = n.ip
	q.err = w.exchange(ctx, conn, n, &q)
	q.ended = time.Now()
	q.isGone = q.err != nil && ctx.Err() != nil
	w.record.note("%s %s %s at %s: status %d, seal %q, sender left %t, error %v", q.id, q.method, q.path, n.ip, q.status, q.seal, q.isGone, q.err)
	w.record.add(&q)
	return q
}

func (w *world) exchange(ctx context.Context, conn net.Conn, n *node, q *request) error {
	defer conn.Close()                                       //nolint:errcheck // the connection is not used again
	leave := context.AfterFunc(ctx, func() { conn.Close() }) //nolint:errcheck // the sender leaves
	defer leave()
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), len(q.body), q.body)
	if err != nil {
		return err
	}
	q.sent = time.Now()
	w.record.note("%s %s %s sent to %s", q.id, q.method, q.path, n.ip)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // it has been read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	q.status, q.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	return nil
}
