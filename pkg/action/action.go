package action

import (
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Kind is the type of an Action.
type Kind uint8

// Kinds of actions, with the fields of Action that each one uses.
const (
	// Offer sends Action.Offer and the body of the call to the node To.
	Offer Kind = iota + 1
	// Answer sends Action.Answer and the body of the run to the node To.
	Answer
	// Cancel sends Action.Cancel to the node To.
	Cancel
	// Run passes Action.Offer and its body to the node's own backend server.
	Run
	// Abort cancels the run of Action.Cancel on the node's own backend server.
	Abort
	// Finish returns Action.Answer to the originator of the call Answer.Call: a
	// caller or the node's own backend server.
	Finish
)

// Action is one operation for an adapter to perform. Bodies stay with the
// adapters, which look them up by call ID and attempt.
type Action struct {
	Kind   Kind
	To     instance.ID
	Offer  *message.Offer
	Answer *message.Answer
	Cancel message.Cancel
	Body   []byte // body of an Answer that comes from the ledger
}
