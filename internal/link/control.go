package link

import (
	"context"
	"io"
	"net/netip"

	"github.com/quic-go/quic-go"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Control sends a control message to another node. It returns a *SendError if
// the message can't be sent; a message that was sent may still be lost.
func (l *Link) Control(ctx context.Context, to instance.ID, m *message.Control) error {
	data, err := message.Encode(message.Frame{From: l.self, Control: m})
	if err != nil {
		return &SendError{to: to, cause: err}
	}
	conn, err := l.connect(ctx, to.Address())
	if err != nil {
		return &SendError{to: to, cause: err}
	}
	if len(data) <= maxDatagram && conn.SendDatagram(data) == nil {
		return nil
	}
	if err := sendStream(ctx, conn, data); err != nil {
		return &SendError{to: to, cause: err}
	}
	return nil
}

func sendStream(ctx context.Context, conn *quic.Conn, data []byte) error {
	str, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if _, err := str.Write(data); err != nil {
		str.CancelWrite(resetCode)
		return err
	}
	return str.Close()
}

// serveStreams handles the control messages that come as streams. They are
// read one after the other, so that a peer can't make many be held at once.
func (l *Link) serveStreams(conn *quic.Conn, address netip.AddrPort) {
	for {
		str, err := conn.AcceptUniStream(l.ctx)
		if err != nil {
			return
		}
		l.serveControl(conn, str, address)
		str.CancelRead(resetCode)
	}
}

func (l *Link) serveControl(conn *quic.Conn, r io.Reader, address netip.AddrPort) {
	frame, err := message.NewFrameReader(r).Next()
	if err != nil {
		return
	}
	l.deliver(conn, frame, address)
}

func (l *Link) serveDatagrams(conn *quic.Conn, address netip.AddrPort) {
	for {
		data, err := conn.ReceiveDatagram(l.ctx)
		if err != nil {
			return
		}
		frame, err := message.Decode[message.Frame](data)
		if err != nil {
			continue
		}
		l.deliver(conn, &frame, address)
	}
}

// deliver passes a control message on if its sender is the node at address.
func (l *Link) deliver(conn *quic.Conn, frame *message.Frame, address netip.AddrPort) {
	if frame.Control != nil && frame.From.Address() == address {
		l.note(conn, frame.From)
		l.handler.Control(frame.From, frame.Control)
	}
}
