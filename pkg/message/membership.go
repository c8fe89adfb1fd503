package message

import "github.com/papayapath/papayapath/pkg/instance"

// MemberState is what a node believes of a member. Of two reports with the
// same revision, the one with the larger state wins.
type MemberState uint8

// States of a member.
const (
	Alive MemberState = iota
	Suspected
	Dead
	Left
)

// Metadata are what a member says of itself. They don't change within an
// incarnation.
type Metadata struct {
	_        struct{} `cbor:",toarray"`
	Services []string // services of the own backend server
	Region   string
	Domain   string // failure domain
}

// Member is a report on one member.
type Member struct {
	_        struct{} `cbor:",toarray"`
	ID       instance.ID
	Revision uint32 // raised by the member only, to refute a suspicion or to drain
	State    MemberState
	Draining bool
	Metadata *Metadata // nil if the report is about the state only
}

// MemberRecord is a record of the stream members: an instance joins or leaves.
type MemberRecord struct {
	ID       instance.ID `cbor:"1,keyasint"`
	Left     bool        `cbor:"2,keyasint,omitempty"`
	Metadata *Metadata   `cbor:"3,keyasint,omitempty"` // nil if Left
}

// Probe asks a node whether it is alive.
type Probe struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Target  instance.ID // whom the sender expects at the address
	Members []Member
}

// Ack answers a Probe, or reports the answer to the relay of a ProbeRequest.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Target  instance.ID // who answered the probe
	Members []Member
}

// ProbeRequest asks a node to probe Target in place of the sender.
type ProbeRequest struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Target  instance.ID
	Members []Member
}

// MemberDigest is a summary of a table of members, one hash for each bucket
// of addresses.
type MemberDigest struct {
	_      struct{} `cbor:",toarray"`
	Hashes []uint64
	Reply  bool // answers a digest, and is not answered by another one
}

// MemberUpdate holds reports of which the receiver may not know.
type MemberUpdate struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
	More    bool // the sender has more reports, and a new digest fetches them
}
