package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
)

// Origin says who made a call.
type Origin uint8

const (
	// Caller is a customer's client.
	Caller Origin = iota
	// Backend is the backend server of the own node. Its calls are children.
	Backend
)

// Request is what an adapter knows of a new call. Adapters fill it for each
// call, so its fields are exported. The dispatcher keeps Header but not the
// Request.
type Request struct {
	Origin  Origin
	Service string
	Method  string
	Path    string // path and query, without the service
	Header  []message.Field
	Length  int64  // bytes of body
	Digest  uint64 // xxhash64 of the body
	Content uint64 // xxhash64 of service, method, path and body

	// Customer and Root are not used for a child of a known parent, which
	// inherits them. An empty Root is replaced by a new id; such a call
	// can't be sent again as the same request.
	Customer string
	Root     string

	Key     string        // idempotency key, or empty
	Issued  time.Time     // time of issue of Key; zero if unknown
	Timeout time.Duration // wish of whoever makes the call; 0 if none
	Trace   message.Trace

	// Parent is the call whose run makes this child call, or nil if it is not
	// known. Deadline ends the parent's run; if it is zero, it is computed
	// from the time at which the dispatcher first heard of the parent.
	Parent   *message.Offer
	Deadline time.Time
}
