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

// CallID names one call between services. It is unique over all incarnations.
type CallID struct {
	_    struct{} `cbor:",toarray"`
	Node instance.ID
	Seq  uint64
}

// String returns the form node/seq, which backend servers forward.
func (c CallID) String() string { return fmt.Sprintf("%s/%d", c.Node, c.Seq) }

// ParseCallID returns the CallID with the given string form. It returns a
// *CallIDError for any other string.
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

// CallIDError reports a string that is not the form of a CallID.
type CallIDError struct {
	text  string
	cause error
}

// Error shows the string.
func (e *CallIDError) Error() string { return fmt.Sprintf("call id %q is not node/seq", e.text) }

// Unwrap returns the fault in one of the parts, if any.
func (e *CallIDError) Unwrap() error { return e.cause }

// Field is one HTTP header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Trace is the context of a W3C trace. It travels with a call.
type Trace struct {
	_     struct{} `cbor:",toarray"`
	Trace [16]byte
	Span  [8]byte
	Flags byte
}

// traceVersion is the version of the W3C trace context format.
const traceVersion = "00"

// String returns the value of the header field Traceparent, or an empty
// string for the zero Trace.
func (t Trace) String() string {
	if t == (Trace{}) {
		return ""
	}
	return fmt.Sprintf("%s-%x-%x-%02x", traceVersion, t.Trace, t.Span, t.Flags)
}

// Offer asks a node to run a call on its backend server. The body follows on
// the same stream.
type Offer struct {
	Call        CallID            `cbor:"1,keyasint"`
	Attempt     int               `cbor:"2,keyasint"`
	Root        string            `cbor:"3,keyasint"`           // id of the customer's request
	Customer    string            `cbor:"4,keyasint"`           // customer on whose contract the call runs
	Service     string            `cbor:"5,keyasint"`           // wanted service
	Method      string            `cbor:"6,keyasint"`           // HTTP method
	Path        string            `cbor:"7,keyasint"`           // path and query, without the service
	Header      []Field           `cbor:"8,keyasint,omitempty"` // header fields for the backend server
	Length      int64             `cbor:"9,keyasint"`           // bytes of body
	Digest      uint64            `cbor:"10,keyasint"`          // xxhash64 of the body
	Content     uint64            `cbor:"11,keyasint"`          // xxhash64 of service, method, path and body
	Priority    priority.Priority `cbor:"12,keyasint"`
	Repeatable  bool              `cbor:"13,keyasint"`
	Remaining   time.Duration     `cbor:"14,keyasint"` // time left until the deadline
	RetryBudget int               `cbor:"15,keyasint"` // retries that the callee may spend on its own calls
	Key         string            `cbor:"16,keyasint,omitempty"`
	KeyAge      time.Duration     `cbor:"17,keyasint,omitempty"` // time since the key was issued, by the entry node's clock; negative if unknown
	Epoch       uint64            `cbor:"18,keyasint,omitempty"` // owner table by which the callee was chosen
	Trace       Trace             `cbor:"19,keyasint"`
	Crashes     int               `cbor:"20,keyasint,omitempty"` // earlier attempts at which the backend server crashed
}

// Answer ends one attempt of a call. The body follows on the same stream.
type Answer struct {
	Call          CallID            `cbor:"1,keyasint"`
	Attempt       int               `cbor:"2,keyasint"`
	Outcome       outcome.Outcome   `cbor:"3,keyasint"`
	Reason        outcome.Reason    `cbor:"4,keyasint"`
	Status        int               `cbor:"5,keyasint"` // HTTP status of the backend server; 0 if it gave none
	Header        []Field           `cbor:"6,keyasint,omitempty"`
	Length        int64             `cbor:"7,keyasint"` // bytes of body; -1 if it is streamed and the length is not known
	Digest        uint64            `cbor:"8,keyasint"` // xxhash64 of the body, if Length is known
	UnusedRetries int               `cbor:"9,keyasint"` // part of the allotment that was not spent
	Threshold     priority.Priority `cbor:"10,keyasint"`
	InFlight      int               `cbor:"11,keyasint"` // calls running on the backend server
	Limit         int               `cbor:"12,keyasint"` // learned concurrency limit
	Epoch         uint64            `cbor:"13,keyasint,omitempty"`
	Replayed      bool              `cbor:"14,keyasint,omitempty"` // the answer comes from the ledger
	// DownstreamThreshold is the threshold that the calls of nearly all runs of this
	// route meet further down the call graph.
	DownstreamThreshold priority.Priority `cbor:"15,keyasint,omitempty"`
}

// Cancel withdraws an attempt whose answer is no longer wanted.
type Cancel struct {
	Call    CallID `cbor:"1,keyasint"`
	Attempt int    `cbor:"2,keyasint"`
}
