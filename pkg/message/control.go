package message

import "github.com/papayapath/papayapath/pkg/instance"

// Control is the envelope of one control message between nodes. Exactly one
// field is set. A receiver ignores messages whose field it does not know.
type Control struct {
	Probe              *Probe              `cbor:"1,keyasint,omitempty"`
	Ack                *Ack                `cbor:"2,keyasint,omitempty"`
	ProbeRequest       *ProbeRequest       `cbor:"3,keyasint,omitempty"`
	MemberDigest       *MemberDigest       `cbor:"4,keyasint,omitempty"`
	MemberUpdate       *MemberUpdate       `cbor:"5,keyasint,omitempty"`
	DeclarationsDigest *DeclarationsDigest `cbor:"6,keyasint,omitempty"`
	DeclarationsUpdate *DeclarationsUpdate `cbor:"7,keyasint,omitempty"`
	PromiseRequest     *PromiseRequest     `cbor:"8,keyasint,omitempty"`
	Promise            *Promise            `cbor:"9,keyasint,omitempty"`
	TableRequest       *TableRequest       `cbor:"10,keyasint,omitempty"`
	OwnerSnapshot      *OwnerSnapshot      `cbor:"11,keyasint,omitempty"`
	// 12 and 13 were reports of demand and shares of customers' rates.
	Suspicion *Suspicion `cbor:"14,keyasint,omitempty"`
}

// Send is an outgoing control message and its destination. A destination with
// incarnation 0 is any node that listens at the address.
type Send struct {
	To      instance.ID
	Control Control
}

// TableRequest asks an instance of a service for its owner table if the log no
// longer contains it.
type TableRequest struct {
	Service string `cbor:"1,keyasint"`
}
