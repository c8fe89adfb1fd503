package message

import (
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/stream"
)

// DeclarationRecord is the data of a record in the stream "declarations".
// Exactly one field is set.
type DeclarationRecord struct {
	Change   *Change   `cbor:"1,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"2,keyasint,omitempty"`
}

// Change is a change of contracts that an operator publishes.
type Change struct {
	Base      stream.Position     `cbor:"1,keyasint"` // version that the change is based on
	Operator  string              `cbor:"2,keyasint"`
	Contracts []contract.Document `cbor:"3,keyasint,omitempty"` // new and changed contracts
	Removed   []string            `cbor:"4,keyasint,omitempty"` // customers whose contracts are removed
}

// Snapshot is a complete table of declarations.
type Snapshot struct {
	Version stream.Position `cbor:"1,keyasint"` // last record that the table contains
	Base    stream.Position `cbor:"2,keyasint"` // newest version of an older log generation that it contains
	Entries []Entry         `cbor:"3,keyasint,omitempty"`
	Last    stream.Position `cbor:"4,keyasint"` // last snapshot in the log before Version
}

// Entry is the declaration for one customer.
type Entry struct {
	Customer string             `cbor:"1,keyasint"`
	Changed  stream.Position    `cbor:"2,keyasint"`           // record that last changed the entry
	Record   string             `cbor:"3,keyasint"`           // ID of that record
	Operator string             `cbor:"4,keyasint"`           // operator who published that record
	Contract *contract.Document `cbor:"5,keyasint,omitempty"` // nil if the contract was removed
}

// DeclarationsDigest summarizes the declarations in force on a node.
type DeclarationsDigest struct {
	Version stream.Position `cbor:"1,keyasint"`
	Base    stream.Position `cbor:"2,keyasint"`
	Hash    uint64          `cbor:"3,keyasint"`           // hash of all contracts in force
	Reply   bool            `cbor:"4,keyasint,omitempty"` // reply to a digest, which is not replied to in turn
}

// DeclarationsUpdate updates a receiver whose version is Since or newer to the
// version of Table.
type DeclarationsUpdate struct {
	Since stream.Position `cbor:"1,keyasint"` // zero if the table is complete
	Table Snapshot        `cbor:"2,keyasint"`
}
