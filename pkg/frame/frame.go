package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/registry"
)

// Kind says which message a frame holds.
type Kind uint8

// Kinds of frames.
const (
	KindOffer         Kind = iota + 1 // Offer, with the body of the request
	KindAnswer                        // Answer, with the body of the answer
	KindCancel                        // Cancel
	KindEntries                       // Entries
	KindDigest                        // Digest
	KindConfiguration                 // Configuration, with the document as body
	KindPing                          // Ping
	KindPong                          // Ping
	KindSuspicions                    // Suspicions
)

const (
	// prefixBytes is the size of the length before each frame.
	prefixBytes = 4
	// headBytes is the size of kind and message length.
	headBytes = 5
	// MaxBytes bounds the size of a frame: the largest body that a client may
	// send, and room for its head.
	MaxBytes = 80 << 20
)

// Offer asks a node to have its backend server run a request.
type Offer struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64   // of the offer, chosen by the sender, unique on a connection
	Request    string   // id of the request
	Service    string
	Route      message.Route
	Priority   priority.Priority
	Wait       time.Duration // how long the answer is waited for
	Repeatable bool
	Nested     bool   // a call of a request that was admitted elsewhere
	HasBody    bool   // the request has a body, though it may be empty
	HeadOnly   bool   // the answer has no body, whatever its head says
	Origin     string // service of the instance where the request arrived
	Content    uint64 // hash of host, method, path and body
	Head       []byte // request line and header fields
}

// Answer ends an offer.
type Answer struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64   // of the offer
	Outcome     outcome.Outcome
	Reason      outcome.Reason
	Sent        bool          // the request reached the backend server
	Status      int           // HTTP status of the server's answer
	Head        []byte        // header fields of the server's answer
	QueueDelay  time.Duration // that the request and its calls waited for places
	CallRefused bool          // a call of the request found no place
	Load        int           // requests that run or wait at the server
	Limit       int           // requests that it runs at once
	Time        time.Duration // that a request takes there
	HasFanout   bool
	Fanout      []ServiceCalls // if HasSpread, the calls that a run of the route causes
}

// ServiceCalls tells how often one run calls a service, in its own calls and in those
// further down.
type ServiceCalls struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Calls   float32
}

// Cancel ends an offer whose sender no longer waits.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
}

// Entries spreads what is known of nodes.
type Entries struct {
	_       struct{} `cbor:",toarray"`
	Entries []registry.Entry
	Reply   bool // the receiver is to send its own entries if they differ
}

// Digest says what the sender knows, so that differences are noticed.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Entries uint64
	Version uint64 // of the configuration; 0 for none
}

// Configuration spreads the newest configuration, which is the body.
type Configuration struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// Ping asks for a sign of life.
type Ping struct {
	_ struct{} `cbor:",toarray"`
}

// Suspicions spreads what is known of requests that crash servers.
type Suspicions struct {
	_          struct{} `cbor:",toarray"`
	Suspicions []message.Suspicion
}

// SizeError reports a frame whose lengths cannot be true.
type SizeError struct {
	size uint32
}

// Error states the size.
func (e *SizeError) Error() string { return fmt.Sprintf("frame: size %d is out of range", e.size) }

// Append appends the frame of a message and its body to dst.
func Append[T any](dst []byte, kind Kind, v T, body []byte) ([]byte, error) {
	head, err := message.Encode(v)
	if err != nil {
		return dst, err
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(headBytes+len(head)+len(body)))
	dst = append(dst, byte(kind))
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(head)))
	dst = append(dst, head...)
	return append(dst, body...), nil
}

// Read reads one frame. The message is decoded with message.Decode; head and
// body belong to the caller.
func Read(r *bufio.Reader) (kind Kind, head, body []byte, err error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return 0, nil, nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size < headBytes || size > MaxBytes {
		return 0, nil, nil, &SizeError{size: size}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, nil, nil, err
	}
	length := binary.BigEndian.Uint32(data[1:headBytes])
	if length > size-headBytes {
		return 0, nil, nil, &SizeError{size: length}
	}
	rest := data[headBytes:]
	return Kind(data[0]), rest[:length:length], rest[length:], nil
}
