package message

import "time"

// Suspicion tells other nodes what is known of a request that was in flight
// when a backend server crashed. A customer and a content digest name the
// request, so that a resend with a new idempotency key is recognised.
type Suspicion struct {
	Customer    string        `cbor:"1,keyasint"`
	Content     uint64        `cbor:"2,keyasint"` // xxhash64 of service, method, path and body
	Crashes     int           `cbor:"3,keyasint"` // crashes with the request in flight; 0 clears it
	SoloCrashes int           `cbor:"4,keyasint"` // those of the crashes at which it ran alone
	Revision    uint64        `cbor:"5,keyasint"` // grows with each change; the larger one is the newer
	TTL         time.Duration `cbor:"6,keyasint"` // time until the suspicion ends by itself
}
