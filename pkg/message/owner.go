package message

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"

	"github.com/papayapath/papayapath/pkg/instance"
)

// uuidVersion is the version of UUID that holds its time of issue.
const uuidVersion = 7

// keySpace is the name space of keys that nodes make.
var keySpace = uuid.NewSHA1(uuid.NameSpaceURL, []byte("papayapath:key"))

// OwnerRecord is one record of the log stream "owners". It makes Owners the
// owner table of Service if it was made from the table that is current when
// the record lands in the log; otherwise it has no effect. The epoch of the
// new table follows from the place of the record in the log, so it isn't a
// field.
type OwnerRecord struct {
	ID       string        `cbor:"1,keyasint"`           // unique, chosen by the writer; a repeated append keeps it
	Service  string        `cbor:"2,keyasint"`           // service whose keys are owned
	Base     uint64        `cbor:"3,keyasint"`           // epoch of the table that the record was made from
	BaseID   string        `cbor:"4,keyasint,omitempty"` // ID of the record that made that table
	Owners   []instance.ID `cbor:"5,keyasint,omitempty"`
	Appender instance.ID   `cbor:"6,keyasint"`           // zero in an operator's record
	Release  bool          `cbor:"7,keyasint,omitempty"` // an operator confirms that all owners have stopped
}

// PromiseRequest asks an owner of a service not to change the owner table for
// Duration, while the log can't be read.
type PromiseRequest struct {
	Service  string        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"`
	Table    string        `cbor:"3,keyasint"` // ID of the record that made the table; a log that went back may have given its epoch twice
	From     instance.ID   `cbor:"4,keyasint"`
	To       instance.ID   `cbor:"5,keyasint"`
	Round    uint64        `cbor:"6,keyasint"` // chosen by From, which counts the promise from the time at which it sent this round
	Duration time.Duration `cbor:"7,keyasint"`
}

// Promise answers a PromiseRequest. If Granted, From has no table change in
// flight and starts none for Duration after it received the request.
type Promise struct {
	Service  string        `cbor:"1,keyasint"`
	Epoch    uint64        `cbor:"2,keyasint"` // epoch that From knows; newer than the request's if From refuses for that reason
	From     instance.ID   `cbor:"3,keyasint"`
	To       instance.ID   `cbor:"4,keyasint"`
	Round    uint64        `cbor:"5,keyasint"`
	Duration time.Duration `cbor:"6,keyasint"`
	Granted  bool          `cbor:"7,keyasint"`
}

// OwnerSnapshot is an owner table as a peer knows it. Next is the offset up
// to which the peer has read the log; a receiver reads on from there.
type OwnerSnapshot struct {
	Generation uint64      `cbor:"1,keyasint"`
	Next       uint64      `cbor:"2,keyasint"`
	Epoch      uint64      `cbor:"3,keyasint"`
	Record     OwnerRecord `cbor:"4,keyasint"`
}

// IssueTime returns the time of issue that an idempotency key holds, with a
// resolution of 1 ms, or false if the key is no UUID of version 7.
//
// It is the only safe source of a key's age: an age that another node
// measured grows on the way by an unknown amount.
func IssueTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// KeyAt returns the idempotency key that holds the given time of issue and is
// otherwise a function of seed.
func KeyAt(issued time.Time, seed []byte) string {
	id := uuid.NewHash(sha256.New(), keySpace, seed, uuidVersion)
	ms := issued.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}
