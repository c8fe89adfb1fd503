package message

import (
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/papayapath/papayapath/pkg/instance"
)

// Limits on the parts of one call, in bytes.
const (
	// MaxBodyBytes bounds the body of a request, which is buffered for retries.
	MaxBodyBytes = 4 << 20
	// MaxHeaderBytes bounds the header fields of a request or response.
	MaxHeaderBytes = 32 << 10
	// MaxBufferedBytes is the number of bytes of a response that are buffered
	// before forwarding starts. A shorter response is forwarded only once it
	// is known to be complete.
	MaxBufferedBytes = 1 << 20
	// ChunkBytes is the size of the chunks of a response body.
	ChunkBytes = 32 << 10
	// maxFrameBytes bounds one encoded frame.
	maxFrameBytes = MaxBodyBytes + 2*MaxHeaderBytes
)

// Head is the status and header of a response of a backend server. The body
// follows in frames with Data, and an Answer ends the response.
type Head struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Header []Field
	Length int64 // length of the body in bytes; -1 if the backend server did not state it
}

// Frame is one item of the CBOR sequence (RFC 8742) on a stream between nodes.
// A call starts with an Offer and its body in Data. The response consists of a
// Head, Data and an Answer, in this order, in one or more frames.
type Frame struct {
	From    instance.ID `cbor:"1,keyasint"`
	Offer   *Offer      `cbor:"2,keyasint,omitempty"`
	Head    *Head       `cbor:"3,keyasint,omitempty"`
	Data    []byte      `cbor:"4,keyasint,omitempty"`
	Answer  *Answer     `cbor:"5,keyasint,omitempty"`
	Control *Control    `cbor:"6,keyasint,omitempty"`
}

// FrameReader reads frames of bounded size from a stream.
type FrameReader struct {
	limited *io.LimitedReader
	decoder *cbor.Decoder
}

// NewFrameReader returns a FrameReader that reads from r.
func NewFrameReader(r io.Reader) *FrameReader {
	limited := &io.LimitedReader{R: r, N: maxFrameBytes}
	return &FrameReader{limited: limited, decoder: decoder.NewDecoder(limited)}
}

// Next returns the next frame. It returns io.EOF at the end of the stream and
// a *CodecError for a frame that is malformed, truncated or too large.
func (f *FrameReader) Next() (*Frame, error) {
	f.limited.N = maxFrameBytes
	frame := new(Frame)
	err := f.decoder.Decode(frame)
	switch {
	case err == io.EOF:
		return nil, err
	case err != nil:
		return nil, &CodecError{kind: "frame", cause: err}
	}
	return frame, nil
}
