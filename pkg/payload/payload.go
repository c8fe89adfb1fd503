package payload

import (
	"io"
	"slices"
)

// initialBuffer is the capacity, in bytes, that is allocated before any content
// arrives. The buffer of longer content grows as bytes arrive, because the
// announced size may be false.
const initialBuffer = 64 << 10

// Read reads size bytes. The memory used is bounded by a multiple of the bytes
// that have arrived. It returns io.ErrUnexpectedEOF if r ends early.
func Read(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, 0, min(size, initialBuffer))
	for len(data) < size {
		if len(data) == cap(data) {
			data = slices.Grow(data, min(size-len(data), len(data)))
		}
		n, err := io.ReadFull(r, data[len(data):min(size, cap(data))])
		data = data[:len(data)+n]
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}
