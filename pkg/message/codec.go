package message

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits on the allocations that a peer can cause in a decoder.
const (
	maxArrayElements = 1 << 15 // the entries that a registry holds
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
)

// panicOptions is the panic message for inconsistent codec options.
const panicOptions = "message: invalid codec options"

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// Appender is a message that encodes itself in place of CBOR.
type Appender interface {
	// AppendTo appends the encoded message to dst.
	AppendTo(dst []byte) []byte
}

// Decoder is an Appender that is decoded.
type Decoder interface {
	// DecodeFrom decodes the message from data, which it may keep.
	DecodeFrom(data []byte) error
}

// Append appends the encoded form of v to dst: its own, if it or its pointer is an
// Appender, else CBOR. The error is a *CodecError.
func Append[T any](dst []byte, v T) ([]byte, error) {
	if a, ok := any(v).(Appender); ok {
		return a.AppendTo(dst), nil
	}
	if a, ok := any(&v).(Appender); ok {
		return a.AppendTo(dst), nil
	}
	data, err := Encode(v)
	return append(dst, data...), err
}

// Encode returns the encoded form of v, as Append does.
func Encode[T any](v T) ([]byte, error) {
	if a, ok := any(v).(Appender); ok {
		return a.AppendTo(nil), nil
	}
	if a, ok := any(&v).(Appender); ok {
		return a.AppendTo(nil), nil
	}
	data, err := encoder.Marshal(v)
	if err != nil {
		return nil, &CodecError{kind: fmt.Sprintf("%T", v), cause: err}
	}
	return data, nil
}

// Decode decodes a value from its encoded form. It returns a *CodecError if data
// is not the encoding of exactly one value of type T.
func Decode[T any](data []byte) (T, error) {
	var v T
	if d, ok := any(&v).(Decoder); ok {
		if err := d.DecodeFrom(data); err != nil {
			return v, &CodecError{kind: fmt.Sprintf("%T", v), cause: err}
		}
		return v, nil
	}
	if err := decoder.Unmarshal(data, &v); err != nil {
		return v, &CodecError{kind: fmt.Sprintf("%T", v), cause: err}
	}
	return v, nil
}

// CodecError reports a message that cannot be encoded or decoded.
type CodecError struct {
	kind  string
	cause error
}

// Error states the type of the message and the underlying error.
func (e *CodecError) Error() string { return fmt.Sprintf("message %s: %v", e.kind, e.cause) }

// Unwrap returns the error of the CBOR codec.
func (e *CodecError) Unwrap() error { return e.cause }

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(panicOptions)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(panicOptions)
	}
	return mode
}
