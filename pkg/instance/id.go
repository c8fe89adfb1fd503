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
	// and a port. A longer one has a zone, which is meaningless to peers.
	maxSize = incarnationSize + 16 + 2
)

// ID identifies one process of a node by the address on which it listens for
// other nodes and its incarnation. The incarnation at an address grows with
// each restart, so the larger of two belongs to the newer process.
//
// The zero ID identifies no instance. IDs are comparable.
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

// Incarnation returns the incarnation of the node at its address.
func (i ID) Incarnation() uint64 { return i.incarnation }

// IsZero reports whether i identifies no instance.
func (i ID) IsZero() bool { return i == ID{} }

// Replaces reports whether i is a newer incarnation at the address of other.
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

// UnmarshalBinary decodes the form of MarshalBinary. It returns an
// *EncodingError if data is too short, too long or has an invalid address.
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

// EncodingError reports an ID that cannot be encoded or decoded.
type EncodingError struct {
	reason string
	cause  error
}

// Error describes the invalid part of the ID.
func (e *EncodingError) Error() string {
	if e.cause == nil {
		return "instance ID: " + e.reason
	}
	return fmt.Sprintf("instance ID: %s: %v", e.reason, e.cause)
}

// Unwrap returns the error of the address codec, if any.
func (e *EncodingError) Unwrap() error { return e.cause }
