package message

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

// CallID identifies one call between services. It is unique across all
// incarnations of a node.
type CallID struct {
	_    struct{} `cbor:",toarray"`
	Node instance.ID
	Seq  uint64
}

// String returns the form node/seq, which backend servers propagate.
func (c CallID) String() string { return fmt.Sprintf("%s/%d", c.Node, c.Seq) }

// ParseCallID parses the string form of a CallID. It returns a *CallIDError if
// text is malformed.
func ParseCallID(text string) (CallID, error) {
	node, seq, ok := strings.Cut(text, "/")
	if !ok {
		return CallID{}, &CallIDError{text: text}
	}
	address, incarnation, ok := strings.Cut(node, "#")
	if !ok {
		return CallID{}, &CallIDError{text: text}
	}
	a, errAddress := netip.ParseAddrPort(address)
	i, errIncarnation := strconv.ParseUint(incarnation, 10, 64)
	n, errSeq := strconv.ParseUint(seq, 10, 64)
	if err := errors.Join(errAddress, errIncarnation, errSeq); err != nil {
		return CallID{}, &CallIDError{text: text, cause: err}
	}
	return CallID{Node: instance.New(a, i), Seq: n}, nil
}

// CallIDError reports a malformed CallID.
type CallIDError struct {
	text  string
	cause error
}

// Error states the malformed text.
func (e *CallIDError) Error() string { return fmt.Sprintf("call ID %q is not node/seq", e.text) }

// Unwrap returns the error of parsing one of the parts, if any.
func (e *CallIDError) Unwrap() error { return e.cause }

// Field is one HTTP header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Trace is the W3C trace context of a call.
type Trace struct {
	_     struct{} `cbor:",toarray"`
	Trace [16]byte
	Span  [8]byte
	Flags byte
}

// traceVersion is the version of the W3C trace context format.
const traceVersion = "00"

// String returns the value of the Traceparent header field, or an empty string
// for the zero Trace.
func (t Trace) String() string {
	if t == (Trace{}) {
		return ""
	}
	return fmt.Sprintf("%s-%x-%x-%02x", traceVersion, t.Trace, t.Span, t.Flags)
}

// Offer asks a node to run a call on its backend server. The request body
// follows on the same stream.
type Offer struct {
	Call        CallID            `cbor:"1,keyasint"`
	Attempt     int               `cbor:"2,keyasint"`
	Root        string            `cbor:"3,keyasint"`           // ID of the customer's request
	Customer    string            `cbor:"4,keyasint"`           // customer whose contract applies to the call
	Service     string            `cbor:"5,keyasint"`           // service to call
	Method      string            `cbor:"6,keyasint"`           // HTTP method
	Path        string            `cbor:"7,keyasint"`           // path and query, without the service
	Header      []Field           `cbor:"8,keyasint,omitempty"` // header fields for the backend server
	Length      int64             `cbor:"9,keyasint"`           // length of the body in bytes
	Digest      uint64            `cbor:"10,keyasint"`          // xxhash64 of the body
	Content     uint64            `cbor:"11,keyasint"`          // xxhash64 of service, method, path and body
	Priority    priority.Priority `cbor:"12,keyasint"`
	Repeatable  bool              `cbor:"13,keyasint"`
	Remaining   time.Duration     `cbor:"14,keyasint"` // remaining time until the deadline
	RetryBudget int               `cbor:"15,keyasint"` // retries that the callee may spend on its own calls
	Key         string            `cbor:"16,keyasint,omitempty"`
	KeyAge      time.Duration     `cbor:"17,keyasint,omitempty"` // age of the key by the clock of the entry node; negative if unknown
	Epoch       uint64            `cbor:"18,keyasint,omitempty"` // epoch of the owner table by which the callee was chosen
	Trace       Trace             `cbor:"19,keyasint"`
	Crashes     int               `cbor:"20,keyasint,omitempty"` // earlier attempts during which the backend server crashed
}

// Answer ends one attempt of a call. The response body follows on the same
// stream.
type Answer struct {
	Call          CallID            `cbor:"1,keyasint"`
	Attempt       int               `cbor:"2,keyasint"`
	Outcome       outcome.Outcome   `cbor:"3,keyasint"`
	Reason        outcome.Reason    `cbor:"4,keyasint"`
	Status        int               `cbor:"5,keyasint"` // HTTP status of the backend server's response; 0 if there is none
	Header        []Field           `cbor:"6,keyasint,omitempty"`
	Length        int64             `cbor:"7,keyasint"` // length of the body in bytes; -1 if it is streamed with unknown length
	Digest        uint64            `cbor:"8,keyasint"` // xxhash64 of the body, if Length is known
	UnusedRetries int               `cbor:"9,keyasint"` // part of the offer's RetryBudget that was not spent
	Threshold     priority.Priority `cbor:"10,keyasint"`
	InFlight      int               `cbor:"11,keyasint"` // calls running on the backend server
	Limit         int               `cbor:"12,keyasint"` // adaptive concurrency limit
	Epoch         uint64            `cbor:"13,keyasint,omitempty"`
	Replayed      bool              `cbor:"14,keyasint,omitempty"` // the answer was replayed from the ledger
	// DownstreamThreshold is the largest admission threshold among the calls
	// that nearly all runs of the route make.
	DownstreamThreshold priority.Priority `cbor:"15,keyasint,omitempty"`
}

// Cancel withdraws an attempt whose answer is no longer needed.
type Cancel struct {
	Call    CallID `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
}
