package guard

import (
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Kind says what an Effect asks for.
type Kind uint8

// Kinds of effects, with the fields of Effect that each one uses.
const (
	// ReadLog reads the stream from Effect.From. Its result goes to Read or
	// ReadFailed.
	ReadLog Kind = iota + 1
	// AppendRecord appends Effect.Record. Its result goes to AppendDone.
	AppendRecord
	// AskPromise sends Effect.Request to the owner Effect.To. Its answer goes
	// to Promise.
	AskPromise
	// AskTable asks the other instances of the service for the table, because
	// the log no longer holds it. Their answers go to Restore.
	AskTable
)

// Effect is one thing for an adapter to do.
type Effect struct {
	Kind    Kind
	From    uint64
	To      instance.ID
	Record  message.OwnerRecord
	Request message.PromiseRequest
}

// Result says how an append ended.
type Result uint8

// Results of an append.
const (
	// InDoubt means that the append may have taken effect, or still may.
	InDoubt Result = iota
	// Appended means that the log has acknowledged the record.
	Appended
	// Failed means that the request never left this instance, so that the
	// record can't land later.
	Failed
)
