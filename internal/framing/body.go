package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/payload"
)

// maxTrailerLines is the number of trailer lines of a chunked body.
const maxTrailerLines = 32

// lengthChunked is the content length that fasthttp reports for a chunked body.
const lengthChunked = -1

// ReadBody reads a body of the given length, of at most maxBytes bytes. A chunked
// body has the length -1, and one that ends with its connection another negative
// length. claim returns the claim that the body holds, given whether the length is
// announced. ReadBody returns payload.ErrTooLarge for a body that is too large.
func ReadBody(r *bufio.Reader, length, maxBytes int, claim func(announced bool) *memory.Claim) (*payload.Body, error) {
	switch {
	case length > maxBytes:
		return nil, payload.ErrTooLarge
	case length > memory.Small:
		return payload.Read(r, length, claim(true))
	case length >= 0:
		return payload.Read(r, length, nil)
	case length != lengthChunked:
		return payload.ReadAll(r, maxBytes, claim(false))
	}
	body, err := payload.ReadAll(newChunkReader(r), maxBytes, claim(false))
	if err != nil {
		return nil, err
	}
	if err := skipTrailer(r); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// skipTrailer reads the trailer of a chunked body. The last chunk completes the
// body, so the connection may end in place of an empty trailer.
func skipTrailer(r *bufio.Reader) error {
	for i := range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		switch {
		case i == 0 && len(line) == 0 && errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			return &Error{reason: "has a trailer line that is too long"}
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return nil
		}
	}
	return &Error{reason: "has too many trailer lines"}
}
