package action

import (
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Kind says what an Action asks for.
type Kind uint8

// Kinds of actions, with the fields of Action that each one uses.
const (
	// Offer sends Action.Offer, and the body of the call, to the node To.
	Offer Kind = iota + 1
	// Answer sends Action.Answer, and the body of the run, to the node To.
	Answer
	// Cancel sends Action.Cancel to the node To.
	Cancel
	// Run hands Action.Offer and its body to the own backend server.
	Run
	// Abort cancels the run of Action.Cancel on the own backend server.
	Abort
	// Finish gives Action.Answer to whoever made the call Answer.Call: a
	// caller or the own backend server.
	Finish
)

// Action is one thing for an adapter to do. Bodies stay with the adapters and
// are found by call id and attempt.
type Action struct {
	Kind   Kind
	To     instance.ID
	Offer  *message.Offer
	Answer *message.Answer
	Cancel message.Cancel
	Body   []byte // body of an Answer that comes from the ledger
}
