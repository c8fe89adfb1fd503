package instance

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

const (
	// incarnationSize is the length in bytes of an encoded incarnation.
	incarnationSize = 8
	// maxSize is the length in bytes of an encoded ID with an IPv6 address
	// and a port. A longer one has a zone, which peers have no use for.
	maxSize = incarnationSize + 16 + 2
)

// ID names one run of a node: the address on which it listens for other
// nodes, and its incarnation. Incarnations at one address grow with each
// restart, so the larger of two is the newer process.
//
// The zero ID names no instance. IDs are comparable.
type ID struct {
	address     netip.AddrPort
	incarnation uint64
}

// New returns the ID of the node at address with the given incarnation.
func New(address netip.AddrPort, incarnation uint64) ID {
	return ID{address: address, incarnation: incarnation}
}

// Address returns the address on which the node listens for other nodes.
func (i ID) Address() netip.AddrPort { return i.address }

// Incarnation returns the number of the node's run at its address.
func (i ID) Incarnation() uint64 { return i.incarnation }

// IsZero reports whether i names no instance.
func (i ID) IsZero() bool { return i == ID{} }

// Replaces reports whether i is a newer run at the address of other.
func (i ID) Replaces(other ID) bool {
	return i.address == other.address && i.incarnation > other.incarnation
}

// Compare orders IDs by address, then by incarnation.
func (i ID) Compare(other ID) int {
	if c := i.address.Compare(other.address); c != 0 {
		return c
	}
	switch {
	case i.incarnation < other.incarnation:
		return -1
	case i.incarnation > other.incarnation:
		return 1
	}
	return 0
}

// String returns the form address#incarnation.
func (i ID) String() string {
	return fmt.Sprintf("%s#%d", i.address, i.incarnation)
}

// MarshalBinary encodes the incarnation, big endian, followed by the address.
func (i ID) MarshalBinary() ([]byte, error) {
	address, err := i.address.MarshalBinary()
	if err != nil {
		return nil, &EncodingError{reason: "address", cause: err}
	}
	data := make([]byte, incarnationSize, incarnationSize+len(address))
	binary.BigEndian.PutUint64(data, i.incarnation)
	return append(data, address...), nil
}

// UnmarshalBinary decodes what MarshalBinary wrote. It returns an
// *EncodingError if data is too short, too long or holds no address.
func (i *ID) UnmarshalBinary(data []byte) error {
	if len(data) < incarnationSize {
		return &EncodingError{reason: "fewer than 8 bytes"}
	}
	if len(data) > maxSize {
		return &EncodingError{reason: "more than 26 bytes"}
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data[incarnationSize:]); err != nil {
		return &EncodingError{reason: "address", cause: err}
	}
	*i = ID{address: address, incarnation: binary.BigEndian.Uint64(data)}
	return nil
}

// EncodingError reports an encoded ID that can't be read or written.
type EncodingError struct {
	reason string
	cause  error
}

// Error describes the faulty part of the ID.
func (e *EncodingError) Error() string {
	if e.cause == nil {
		return "instance ID: " + e.reason
	}
	return fmt.Sprintf("instance ID: %s: %v", e.reason, e.cause)
}

// Unwrap returns the error of the address codec, if any.
func (e *EncodingError) Unwrap() error { return e.cause }
