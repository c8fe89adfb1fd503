package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/papayapath/papayapath/pkg/memory"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/notice"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/payload"
	"github.com/papayapath/papayapath/pkg/priority"
	"github.com/papayapath/papayapath/pkg/readiness"
	"github.com/papayapath/papayapath/pkg/registry"
	"github.com/papayapath/papayapath/pkg/term"
)

// Kind is the type of the message in a frame.
type Kind uint8

// Kinds of frames.
const (
	KindOffer         Kind = iota + 1 // Offer, with the request body
	KindAnswer                        // Answer, with the response body
	KindCancel                        // Cancel
	KindEntries                       // Entries
	KindDigest                        // Digest
	KindConfiguration                 // Configuration, with the document as the body
	KindPing                          // Ping
	KindPong                          // Ping
	KindSuspicions                    // Suspicions
	KindSummary                       // Summary
	KindBuckets                       // Buckets
	KindProgress                      // Ping; the sender is reading, and the receiver need not answer
	KindTokenRequest                  // TokenRequest
	KindTokenGrant                    // TokenGrant
	KindTerm                          // TermNotice
	KindCount                         // number of kinds, including the unused zero
)

// kindNames are the names of the kinds in metrics.
var kindNames = [KindCount]string{
	"invalid", "offer", "answer", "cancel", "entries", "digest", "configuration", "ping", "pong", "suspicions", "summary", "buckets", "progress",
	"token_request", "token_grant", "term",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k >= KindCount {
		return kindNames[0]
	}
	return kindNames[k]
}

const (
	// lengthBytes is the size of the length field before each frame.
	lengthBytes = 4
	// headerBytes is the size of the kind and the message length.
	headerBytes = 5
	// MaxBytes is the maximum size of a frame. It covers the largest body that
	// a client may send and the head of the request.
	MaxBytes = 80 << 20
)

// Offer asks a node to run a request on its backend server.
type Offer struct {
	ID         uint64 // offer ID, chosen by the sender, unique on a connection
	Request    string // request ID
	Service    string
	Route      message.Route
	Priority   priority.Priority
	Wait       time.Duration // time from Sent for which the sender waits for the answer
	Sent       time.Duration // reading of the sender's clock, whose origin is arbitrary
	Repeatable bool
	Nested     bool    // a call made by a request that another node admitted
	HasBody    bool    // the request has a body, which may be empty
	HeadOnly   bool    // the response has no body, whatever its header fields say
	Origin     string  // service of the instance that received the request
	Content    uint64  // hash of host, method, path, customer and body
	Head       []byte  // request line and header fields
	Notice     *Notice // what the sender heard the server say of itself, if anything
	// Repeat and Credit are zero unless the retry budget is spent at the servers.
	Repeat Repeat
	Credit int // requests and calls of the service that count for the receiver
	// Objective is the time from Sent until the latency objective of the client's request,
	// negative if that has passed and 0 if the sender does not tell.
	Objective time.Duration
}

// Repeat tells whether a request or call has been sent to a server of its service before.
// The receiver charges all but the first to the retry budget.
type Repeat uint8

// Kinds of attempts.
const (
	First  Repeat = iota
	Rerun         // it may have run before, or the run that makes the call is a repeat
	Resent        // a server has shed it
)

// Answer is the final reply to an offer.
type Answer struct {
	ID          uint64 // offer ID
	Outcome     outcome.Outcome
	Reason      outcome.Reason
	Sent        bool          // the request reached the backend server
	Status      int           // HTTP status of the response
	Head        []byte        // header fields of the response
	QueueDelay  time.Duration // time that the request and its calls spent in queues
	CallRefused bool          // a call made by the request was rejected for lack of capacity
	Load        int           // requests running or queued at the server
	Limit       int           // concurrency limit of the server
	Time        time.Duration // service time of a request at the server
	HasFanout   bool
	Fanout      []ServiceCalls // if HasFanout, the calls that one run of the route causes
	Notice      *Notice        // what the server says of itself, if anything
	Sheds       []ServiceRate  // services that shed requests, as far as the sender knows
	Outlook     *Outlook       // what the node expects of its server; nil if it does not say
}

// Outlook is what the node beside a server expects of it. Nodes choose servers by it.
type Outlook struct {
	Wait        time.Duration // until a further request starts
	ServiceTime time.Duration // usual one of the route and caller of the offer, without calls
	Slowdown    float32       // factor on it at present
}

// ServiceRate is the part of the requests to a service that its servers shed, or to a
// single server if the sender is the node beside it.
type ServiceRate struct {
	Service string
	Rate    float32
}

// Notice is what a backend server has said of itself in its answers. It goes with
// each answer to an offer while it holds. The receiver sends it back with its own
// offers, so that a restarted node knows it before its server answers.
type Notice struct {
	ID     string // ID of the server
	Born   int64  // start of the server, Unix milliseconds by its clock
	Notice notice.Notice
}

// Server returns the incarnation of the server.
func (n *Notice) Server() readiness.Incarnation {
	return readiness.Incarnation{ID: n.ID, Born: n.Born}
}

// ServiceCalls is the mean number of calls to a service that one run causes,
// directly and further downstream.
type ServiceCalls struct {
	Service string
	Calls   float32
}

// Cancel withdraws an offer whose answer is no longer needed.
type Cancel struct {
	_    struct{} `cbor:",toarray"`
	ID   uint64
	Sent time.Duration // reading of the sender's clock, with the origin of Offer.Sent
	// Queued withdraws the offer only if its request has not been sent to the server.
	// The offer is answered in any case.
	Queued bool
}

// Entries disseminates registry entries.
type Entries struct {
	_       struct{} `cbor:",toarray"`
	Entries []registry.Entry
}

// Digest summarizes the state of the sender, so that the receiver detects
// differences.
type Digest struct {
	_       struct{} `cbor:",toarray"`
	Entries uint64   // digest of the registry, or 0 to compare only the version
	Version uint64   // configuration version, or 0 if there is none
	Request bool     // the receiver sends its configuration if it is newer
	// Generation is the highest generation of the platform log that the sender
	// has heard of, 0 if none.
	Generation uint64
	// Confirmed reports whether Version is known to have been the newest one Age
	// milliseconds ago. It is false where no customers are configured.
	Confirmed bool
	Age       uint32
}

// Summary answers a digest that differs from that of the sender. The receiver
// finds the buckets that differ and sends them as Buckets.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Buckets []uint64 // digest of each bucket of the registry
}

// Buckets holds all entries that the sender has in some buckets of the registry.
// The receiver returns, as Entries, those that the sender lacks.
type Buckets struct {
	_       struct{} `cbor:",toarray"`
	Buckets []int
	Entries []registry.Entry
}

// Configuration disseminates the newest configuration, which is the body.
type Configuration struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
}

// Ping checks that the connection is alive.
type Ping struct {
	_ struct{} `cbor:",toarray"`
}

// TokenRequest asks the allocator of a part of all limits for tokens of a customer.
type TokenRequest struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64   // chosen by the sender, unique on a connection
	Part     int
	Customer string
	Wanted   int
}

// TokenGrant answers a TokenRequest.
type TokenGrant struct {
	_          struct{} `cbor:",toarray"`
	ID         uint64
	IsHolder   bool // the sender may allocate tokens of the part
	Granted    int
	ValidityMS uint32 // how long the tokens are valid, from the sending of the request
	WaitMS     uint32 // if none were granted, the time until the next request makes sense
}

// TermNotice tells which node allocates a part of all limits, as recorded in the platform
// log.
type TermNotice struct {
	_      struct{} `cbor:",toarray"`
	Part   int
	Record term.Record
	End    int64 // end of the partition of the log after the record
}

// Suspicions disseminates the requests suspected of crashing backend servers.
type Suspicions struct {
	_          struct{} `cbor:",toarray"`
	Suspicions []message.Suspicion
}

// SizeError reports a frame with an invalid length.
type SizeError struct {
	size uint32
}

// Error states the invalid length.
func (e *SizeError) Error() string { return fmt.Sprintf("frame: size %d is out of range", e.size) }

// Append appends a frame with the message v and a body to dst.
func Append[T any](dst []byte, kind Kind, v T, body []byte) ([]byte, error) {
	dst, err := AppendWithoutBody(dst, kind, v, len(body))
	return append(dst, body...), err
}

// AppendWithoutBody appends a frame with the message v to dst, up to its body of
// the given size, which has to follow.
func AppendWithoutBody[T any](dst []byte, kind Kind, v T, bodySize int) ([]byte, error) {
	start := len(dst)
	var prefix [lengthBytes + headerBytes]byte
	encoded, err := message.Append(append(dst, prefix[:]...), v)
	if err != nil {
		return dst, err
	}
	size := len(encoded) - start - len(prefix)
	head := encoded[start:]
	binary.BigEndian.PutUint32(head, uint32(headerBytes+size+bodySize))
	head[lengthBytes] = byte(kind)
	binary.BigEndian.PutUint32(head[lengthBytes+1:], uint32(size))
	return encoded, nil
}

// maxControlBytes is the maximum size of a message. It holds the entries of 7,200
// nodes.
const maxControlBytes = 4 << 20

// maxBytes returns the maximum size of a frame of a kind.
func (k Kind) maxBytes() uint32 {
	if k.hasBody() {
		return MaxBytes
	}
	return maxControlBytes
}

// hasBody reports whether frames of a kind can have a body.
func (k Kind) hasBody() bool {
	return k == KindOffer || k == KindAnswer || k == KindConfiguration
}

// Frame is a frame that has been read.
type Frame struct {
	Kind    Kind
	Message []byte        // encoded message, which message.Decode decodes
	Body    *payload.Body // holds the claim for the whole frame
	Dropped bool          // there was no memory for the body, or for the message of a kind without a body
}

// Read reads one frame, which belongs to the caller, and claims memory for it from
// b unless it is small. Memory use follows the bytes that arrive.
func Read(r *bufio.Reader, b *memory.Budget) (Frame, error) {
	prefix, err := r.Peek(lengthBytes)
	if err != nil {
		return Frame{}, cutShort(prefix, err)
	}
	size := binary.BigEndian.Uint32(prefix)
	if size < headerBytes || size > MaxBytes {
		return Frame{}, &SizeError{size: size}
	}
	if prefix, err = r.Peek(lengthBytes + headerBytes); err != nil {
		return Frame{}, cutShort(prefix, err)
	}
	f := Frame{Kind: Kind(prefix[lengthBytes])}
	if size > f.Kind.maxBytes() {
		return Frame{}, &SizeError{size: size}
	}
	size -= headerBytes
	length := binary.BigEndian.Uint32(prefix[lengthBytes+1:])
	if _, err := r.Discard(len(prefix)); err != nil {
		return Frame{}, err
	}
	if length > size || length > maxControlBytes {
		return Frame{}, &SizeError{size: length}
	}
	if size <= memory.Small {
		data := make([]byte, size)
		if _, err := io.ReadFull(r, data); err != nil {
			return Frame{}, unexpectedEnd(err)
		}
		f.Message, f.Body = data[:length:length], payload.NewBody(data[length:], nil)
		return f, nil
	}
	err = f.readLarge(r, int(length), int(size-length), b)
	return f, err
}

// cutShort returns the error of a frame of which only read has arrived. It is io.EOF
// only before a frame.
func cutShort(read []byte, err error) error {
	if len(read) == 0 {
		return err
	}
	return unexpectedEnd(err)
}

// readLarge reads a message and a body that need a claim. Content for which there
// is no memory is discarded, so that the link stays usable.
func (f *Frame) readLarge(r *bufio.Reader, length, bodySize int, b *memory.Budget) error {
	claim := b.Claim(memory.Frame, memory.Fixed, nil)
	if f.Kind.hasBody() {
		// The message tells to whom the frame matters.
		claim.Force(length)
	} else if err := claim.Grow(length); err != nil {
		f.Dropped = true
		return discard(r, length+bodySize)
	}
	m, err := payload.Read(r, length, nil)
	if err != nil {
		claim.Release()
		return err
	}
	f.Message = m.Bytes()
	rest := &io.LimitedReader{R: r, N: int64(bodySize)}
	f.Body, err = payload.Read(rest, bodySize, claim)
	var exhausted *memory.ExhaustedError
	if errors.As(err, &exhausted) {
		f.Dropped = true
		return discard(r, int(rest.N))
	}
	return err
}

// discard reads and drops n bytes.
func discard(r *bufio.Reader, n int) error {
	_, err := r.Discard(n)
	return unexpectedEnd(err)
}

// unexpectedEnd returns io.ErrUnexpectedEOF for io.EOF and other errors unchanged.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
