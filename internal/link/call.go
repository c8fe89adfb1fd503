package link

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc/pool"

	"github.com/papayapath/papayapath/internal/reply"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Offer sends a call to another node and passes its answer to sink. It
// returns a *SendError if the exchange ends before the Answer, also when ctx
// ends; the other node then cancels the call.
func (l *Link) Offer(ctx context.Context, to instance.ID, o *message.Offer, body []byte, sink reply.Sink) error {
	data, err := message.Encode(message.Frame{From: l.self, Offer: o, Data: body})
	if err != nil {
		return &SendError{to: to, cause: err}
	}
	conn, err := l.connect(ctx, to.Address())
	if err != nil {
		return &SendError{to: to, cause: err}
	}
	str, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return &SendError{to: to, cause: err}
	}
	stop := context.AfterFunc(ctx, func() { reset(str) })
	defer stop()
	if _, err := str.Write(data); err != nil {
		// The other node runs only a whole offer, and this one never left.
		reset(str)
		return &SendError{to: to, cause: err}
	}
	heard := func(from instance.ID) { l.note(conn, from) }
	if err := receive(str, heard, sink); err != nil {
		reset(str)
		return &SendError{to: to, sent: true, cause: err}
	}
	// The end of this side of the stream tells the other node that the answer
	// has arrived.
	_ = str.Close()
	return nil
}

func reset(str *quic.Stream) {
	str.CancelRead(resetCode)
	str.CancelWrite(resetCode)
}

// receive passes the frames of an answer to sink up to the Answer itself. It
// calls heard with the sender of the last one.
func receive(r io.Reader, heard func(instance.ID), sink reply.Sink) error {
	frames := message.NewFrameReader(r)
	for {
		frame, err := frames.Next()
		if err != nil {
			return err
		}
		if err := pass(frame, sink); err != nil {
			return err
		}
		if frame.Answer != nil {
			heard(frame.From)
			return nil
		}
	}
}

func pass(frame *message.Frame, sink reply.Sink) error {
	if frame.Head != nil {
		if err := sink.Head(frame.Head); err != nil {
			return err
		}
	}
	if frame.Data != nil {
		if err := sink.Data(frame.Data); err != nil {
			return err
		}
	}
	if frame.Answer != nil {
		return sink.Answer(frame.Answer)
	}
	return nil
}

// serveCalls handles the calls that the node at address offers on conn.
func (l *Link) serveCalls(conn *quic.Conn, address netip.AddrPort) {
	workers := pool.New().WithMaxGoroutines(maxStreams)
	defer workers.Wait()
	for {
		str, err := conn.AcceptStream(l.ctx)
		if err != nil {
			return
		}
		workers.Go(func() { l.serveCall(conn, str, address) })
	}
}

func (l *Link) serveCall(conn *quic.Conn, str *quic.Stream, address netip.AddrPort) {
	l.unread.Add(1)
	defer l.unread.Add(-1)
	frame, err := message.NewFrameReader(str).Next()
	if err != nil || frame.Offer == nil || frame.From.Address() != address {
		reset(str)
		return
	}
	l.note(conn, frame.From)
	sink := &streamSink{link: l, stream: str}
	l.handler.Offer(str.Context(), frame.From, frame.Offer, frame.Data, sink)
	if !sink.finished {
		reset(str)
		return
	}
	_ = str.Close()
	awaitReceipt(str)
}

// awaitReceipt waits until the node that made a call has read the answer, or
// has gone. What has been written may still wait to be sent, and is lost if the
// connection is closed.
func awaitReceipt(str *quic.Stream) {
	if err := str.SetReadDeadline(time.Now().Add(receiptTimeout)); err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, str); err != nil {
		reset(str)
	}
}

// Settled reports whether all answers to other nodes have been read there.
func (l *Link) Settled() bool { return l.unread.Load() == 0 }

// streamSink writes an answer to the node that made the call. It holds back
// one frame, so that a short answer goes out in a single write.
type streamSink struct {
	link     *Link
	stream   *quic.Stream
	held     message.Frame
	finished bool
}

func (s *streamSink) Head(h *message.Head) error {
	s.held.Head = h
	return nil
}

func (s *streamSink) Data(p []byte) error {
	if len(s.held.Data)+len(p) > message.ChunkBytes {
		if err := s.flush(); err != nil {
			return err
		}
	}
	s.held.Data = append(s.held.Data, p...)
	return nil
}

func (s *streamSink) Answer(a *message.Answer) error {
	s.finished = true
	s.held.Answer = a
	return s.flush()
}

func (s *streamSink) flush() error {
	s.held.From = s.link.self
	data, err := message.Encode(s.held)
	if err != nil {
		return err
	}
	s.held = message.Frame{Data: s.held.Data[:0]}
	_, err = s.stream.Write(data)
	return err
}
