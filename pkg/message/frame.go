package message

import (
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/papayapath/papayapath/pkg/instance"
)

// Limits on the parts of one call, in bytes.
const (
	// MaxBodyBytes bounds the body of a request, which is held for retries.
	MaxBodyBytes = 4 << 20
	// MaxHeaderBytes bounds the header fields of a request or an answer.
	MaxHeaderBytes = 32 << 10
	// MaxBufferedBytes is how much of an answer is held before it is passed on. A
	// shorter answer reaches the caller only when it is known to be whole.
	MaxBufferedBytes = 1 << 20
	// ChunkBytes is the size of the pieces in which answer bodies travel.
	ChunkBytes = 32 << 10
	// maxFrame bounds one encoded frame.
	maxFrame = MaxBodyBytes + 2*MaxHeaderBytes
)

// Head starts the answer of a backend server. Its body follows in Frames with
// Data, and an Answer ends it.
type Head struct {
	_      struct{} `cbor:",toarray"`
	Status int
	Header []Field
	Length int64 // bytes of body; -1 if the backend server did not say
}

// Frame is one item of the sequence (RFC 8742) on a stream between nodes. A
// call starts with an Offer and its body in Data. Its answer is a Head, Data
// and an Answer, in this order, in one frame or in several.
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

// NewFrameReader returns a reader of the frames in r.
func NewFrameReader(r io.Reader) *FrameReader {
	limited := &io.LimitedReader{R: r, N: maxFrame}
	return &FrameReader{limited: limited, decoder: decoder.NewDecoder(limited)}
}

// Next returns the next frame. It returns io.EOF at the end of the stream and
// a *CodecError for a frame that is damaged, cut off or too large.
func (f *FrameReader) Next() (*Frame, error) {
	f.limited.N = maxFrame
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
