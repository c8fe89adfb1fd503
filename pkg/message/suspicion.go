package message

import "time"

// Suspicion reports a request that was in flight when backend servers crashed. The request
// is identified by customer and content hash, so that a resend with a new idempotency key
// is recognized.
type Suspicion struct {
	Customer string  `cbor:"1,keyasint"`
	Content  uint64  `cbor:"2,keyasint"` // xxhash64 of service, method, path and body
	Crashes  []Crash `cbor:"7,keyasint"` // earlier versions used the keys 3 to 6
}

// Crash is a crash of a backend server with a request in flight.
type Crash struct {
	_       struct{}      `cbor:",toarray"`
	ID      uint64        // the same at all nodes, and of no other crash
	Solo    bool          // no other request was in flight
	Cleared bool          // the request has run to completion since
	TTL     time.Duration // time until the crash no longer counts
}
