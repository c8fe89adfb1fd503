package message

import "github.com/papayapath/papayapath/pkg/instance"

// MemberState is the state of a member as seen by a node. Of two reports with
// the same revision, the one with the larger state wins.
type MemberState uint8

// States of a member.
const (
	Alive MemberState = iota
	Suspected
	Dead
	Left
)

// Metadata describes a member. It does not change within an incarnation.
type Metadata struct {
	_        struct{} `cbor:",toarray"`
	Services []string // services of the local backend server
	Region   string
	Domain   string // failure domain
}

// Member is a report on the state of one member.
type Member struct {
	_        struct{} `cbor:",toarray"`
	ID       instance.ID
	Revision uint32 // increased only by the member itself, to refute a suspicion or to drain
	State    MemberState
	Draining bool
	Metadata *Metadata // nil if the report covers the state only
}

// MemberRecord is a record of the stream "members": an instance joins or
// leaves.
type MemberRecord struct {
	ID       instance.ID `cbor:"1,keyasint"`
	Left     bool        `cbor:"2,keyasint,omitempty"`
	Metadata *Metadata   `cbor:"3,keyasint,omitempty"` // nil if Left
}

// Probe asks a node whether it is alive.
type Probe struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Target  instance.ID // instance that the sender expects at the address
	Members []Member
}

// Ack acknowledges a Probe, or forwards the acknowledgement of a probe that a
// ProbeRequest asked for.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Target  instance.ID // instance that acknowledged the probe
	Members []Member
}

// ProbeRequest asks a node to probe Target on behalf of the sender.
type ProbeRequest struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Target  instance.ID
	Members []Member
}

// MemberDigest summarizes a member table by one hash for each bucket of
// addresses.
type MemberDigest struct {
	_      struct{} `cbor:",toarray"`
	Hashes []uint64
	Reply  bool // reply to a digest, which is not replied to in turn
}

// MemberUpdate holds reports that the receiver may not have.
type MemberUpdate struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
	More    bool // the sender has more reports, which a new digest requests
}
