package message

import "github.com/papayapath/papayapath/pkg/instance"

// Control carries one control message between two nodes. Exactly one field is
// set; a receiver ignores a message whose fields it doesn't know.
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
	Demand             *Demand             `cbor:"12,keyasint,omitempty"`
	Share              *Share              `cbor:"13,keyasint,omitempty"`
	Suspicion          *Suspicion          `cbor:"14,keyasint,omitempty"`
}

// Send is a control message and the node that it goes to. An ID with
// incarnation 0 means whichever node listens at the address.
type Send struct {
	To      instance.ID
	Control Control
}

// TableRequest asks an instance of a service for the owner table that it
// knows, because the log no longer holds it.
type TableRequest struct {
	Service string `cbor:"1,keyasint"`
}
