package backend

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/papayapath/papayapath/internal/framing"
	"github.com/papayapath/papayapath/internal/gateway"
	"github.com/papayapath/papayapath/internal/reply"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Backend is the client of the node's own backend server.
type Backend struct{ pool pool }

// New returns a client of the backend server at address.
func New(address string) *Backend { return &Backend{pool: pool{address: address}} }

// Close closes idle connections. Runs in flight are not affected.
func (b *Backend) Close() { b.pool.close() }

// Do runs a call and passes the head and the body of its answer to sink. The
// end of the answer is returned. It is NotRun only if no connection could be
// opened, since a request that was written even in part may have run. When
// ctx ends or the deadline passes, the connection is closed, by which the
// backend server knows that the call is canceled.
//
// The deadline is sent as a point in time, by the clock that the node and its
// backend server share. A node that is paused before it sends a call is then
// refused by the backend server; a remaining time would start again there.
func (b *Backend) Do(ctx context.Context, o *message.Offer, deadline time.Time, body []byte, sink reply.Sink) message.Answer {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := b.pool.take(ctx)
	if err != nil {
		return message.Answer{Outcome: outcome.NotRun, Reason: outcome.Unavailable}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer, reusable := exchange(conn, o, deadline, body, sink)
	if !stop() && answer.Outcome != outcome.Complete {
		answer.Reason = cancelReason(ctx)
		return answer
	}
	if reusable && ctx.Err() == nil {
		b.pool.put(conn)
	} else {
		_ = conn.Close()
	}
	return answer
}

func cancelReason(ctx context.Context) outcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.Expired
	}
	return outcome.Canceled
}

// exchange writes the request and reads the answer. It reports whether the
// connection can serve another request. An answer with neither a length nor
// chunks ends with its connection and can't be proved whole, so it is Unknown.
func exchange(conn *connection, o *message.Offer, deadline time.Time, body []byte, sink reply.Sink) (message.Answer, bool) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request, o, deadline, body)
	request.Header.SetHost(conn.RemoteAddr().String())
	crashed := message.Answer{Outcome: outcome.Unknown, Reason: outcome.Crashed}
	if err := request.Write(conn.writer); err != nil {
		return crashed, false
	}
	if err := conn.writer.Flush(); err != nil {
		return crashed, false
	}
	// fasthttp takes the status 000 for 200, and an interim response for the final one.
	if err := framing.AwaitResponse(conn.reader); err != nil {
		return crashed, false
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.StreamBody = true
	response.SkipBody = o.Method == fasthttp.MethodHead
	if err := response.ReadLimitBody(conn.reader, 0); err != nil {
		return crashed, false
	}
	answer := forward(response, sink)
	if conn.ended && answer.Outcome == outcome.Complete && response.Header.ContentLength() < 0 {
		return crashed, false
	}
	return answer, answer.Outcome == outcome.Complete && !response.ConnectionClose()
}

func fill(request *fasthttp.Request, o *message.Offer, deadline time.Time, body []byte) {
	request.Header.SetMethod(o.Method)
	request.SetRequestURI(o.Path)
	for _, f := range o.Header {
		request.Header.Add(f.Name, f.Value)
	}
	request.Header.Set(gateway.HeaderCall, o.Call.String())
	request.Header.Set(gateway.HeaderAttempt, strconv.Itoa(o.Attempt))
	request.Header.Set(gateway.HeaderDeadline, strconv.FormatInt(deadline.UnixMilli(), 10))
	request.Header.Set(gateway.HeaderCustomer, o.Customer)
	request.Header.Set(gateway.HeaderRequest, o.Root)
	if o.Key != "" {
		request.Header.Set(gateway.HeaderKey, o.Key)
	}
	if trace := o.Trace.String(); trace != "" {
		request.Header.Set(gateway.HeaderTrace, trace)
	}
	request.SetBodyRaw(body)
}

// forward passes the answer of the backend server to sink and returns its
// end. An answer that stops early is Unknown.
func forward(response *fasthttp.Response, sink reply.Sink) message.Answer {
	answer := message.Answer{Status: response.StatusCode(), Header: fields(response)}
	length := int64(response.Header.ContentLength())
	head := &message.Head{Status: answer.Status, Header: answer.Header, Length: max(length, -1)}
	broken := func(reason outcome.Reason) message.Answer {
		return message.Answer{Outcome: outcome.Unknown, Reason: reason}
	}
	if err := sink.Head(head); err != nil {
		return broken(outcome.Canceled)
	}
	digest := xxhash.New()
	out := &writer{sink: sink, digest: digest}
	if err := out.copy(response); err != nil {
		if out.err != nil {
			return broken(outcome.Canceled)
		}
		return broken(outcome.Crashed)
	}
	if length >= 0 && out.length != length && !response.SkipBody {
		return broken(outcome.Crashed)
	}
	answer.Outcome = outcome.Complete
	answer.Length = out.length
	answer.Digest = digest.Sum64()
	return answer
}

func fields(response *fasthttp.Response) []message.Field {
	var list []message.Field
	for name, value := range response.Header.All() {
		list = append(list, message.Field{Name: string(name), Value: string(value)})
	}
	return list
}

// writer passes a body on in pieces and counts and hashes it.
type writer struct {
	sink   reply.Sink
	digest *xxhash.Digest
	length int64
	err    error // error of the sink
}

func (w *writer) copy(response *fasthttp.Response) error {
	if response.BodyStream() == nil {
		_, err := w.Write(response.Body())
		return err
	}
	buffer := make([]byte, message.ChunkBytes)
	_, err := io.CopyBuffer(w, onlyReader{response.BodyStream()}, buffer)
	return errors.Join(err, response.CloseBodyStream())
}

// onlyReader hides other methods of a reader, so that io.CopyBuffer reads
// pieces of the size of its buffer.
type onlyReader struct{ io.Reader }

// Write passes p on.
func (w *writer) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	_, _ = w.digest.Write(p)
	w.length += int64(len(p))
	if err := w.sink.Data(p); err != nil {
		w.err = err
		return 0, err
	}
	return len(p), nil
}

// probeTimeout bounds the connection attempt of Reachable.
const probeTimeout = time.Second

// Reachable reports whether the backend server accepts connections.
func (b *Backend) Reachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := b.pool.dial(ctx)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
