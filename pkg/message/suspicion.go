package message

import "time"

// Suspicion reports a request that was in flight when a backend server crashed.
// The request is identified by customer and content hash, so that a resend with
// a new idempotency key is recognized.
type Suspicion struct {
	Customer    string        `cbor:"1,keyasint"`
	Content     uint64        `cbor:"2,keyasint"` // xxhash64 of service, method, path and body
	Crashes     int           `cbor:"3,keyasint"` // crashes with the request in flight; 0 clears it
	SoloCrashes int           `cbor:"4,keyasint"` // crashes during which no other request was in flight
	Revision    uint64        `cbor:"5,keyasint"` // grows with each change; a larger one is newer
	TTL         time.Duration `cbor:"6,keyasint"` // time until the suspicion expires
}
