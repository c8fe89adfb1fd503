package publication

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/stream"
)

const (
	// readLimit is the number of records in one read.
	readLimit = 1000
	// readWait is how long one read waits for a new record.
	readWait = 5 * time.Second
	// retryWait is the time before a failed read is repeated.
	retryWait = 500 * time.Millisecond
)

// Log is the part of the log's client that a Publisher needs.
type Log interface {
	Append(ctx context.Context, name, id string, data []byte) (platform.Position, error)
	Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (platform.Batch, error)
}

// Publisher reads and publishes declarations.
type Publisher struct {
	log   Log
	state *declarations.State
}

// New returns a Publisher that has read nothing.
func New(log Log) *Publisher {
	random := rand.New(rand.NewPCG(0, 0)) // not used, since a Publisher has no peers
	return &Publisher{log: log, state: declarations.New(instance.ID{}, random)}
}

// State returns what was in force at the end of the last read.
func (p *Publisher) State() *declarations.State { return p.state }

// Read reads the log to its end. It returns an *IncompleteError if the log
// does not hold all contracts that are in force.
func (p *Publisher) Read(ctx context.Context) ([]declarations.Result, error) {
	var results []declarations.Result
	for {
		found, end, err := p.next(ctx, 0)
		results = append(results, found...)
		if err != nil {
			return results, err
		}
		if p.state.From() >= end {
			break
		}
	}
	if !p.state.Ready() {
		return results, &IncompleteError{}
	}
	return results, nil
}

// Follow returns the outcomes of records that come after those read, once
// there are some.
func (p *Publisher) Follow(ctx context.Context) ([]declarations.Result, error) {
	for {
		results, _, err := p.next(ctx, readWait)
		if err != nil || len(results) > 0 {
			return results, err
		}
	}
}

func (p *Publisher) next(ctx context.Context, wait time.Duration) ([]declarations.Result, int64, error) {
	batch, err := p.log.Read(ctx, declarations.Stream, p.state.From(), readLimit, wait)
	if err != nil {
		return nil, 0, err
	}
	p.state.Log(time.Now(), batch)
	return p.state.Results(), batch.End, nil
}

// Publish appends the changes of plan as a record with the given id and
// returns what became of it. It may be called again with the same id. The
// error is a *RejectedError if the record has no effect, an *UnknownError if
// that can't be told, or one of the log if the record was not appended.
func (p *Publisher) Publish(ctx context.Context, plan Plan, id, operator string) (stream.Position, error) {
	change := &message.Change{Base: plan.Version, Operator: operator}
	for i := range plan.Steps {
		switch s := &plan.Steps[i]; s.Effect {
		case Add, Change:
			change.Contracts = append(change.Contracts, s.Document)
		case Remove:
			change.Removed = append(change.Removed, s.Customer)
		}
	}
	return p.append(ctx, message.DeclarationRecord{Change: change}, id)
}

// Reset makes the documents the only contracts in force. It is for a log that
// has lost the contracts together with all nodes that had them.
func (p *Publisher) Reset(ctx context.Context, documents []contract.Document, id, operator string) (stream.Position, error) {
	batch, err := p.log.Read(ctx, declarations.Stream, p.state.From(), 1, 0)
	if err != nil {
		return stream.Position{}, err
	}
	version := stream.At(batch.Generation, batch.End-1)
	snapshot := &message.Snapshot{Version: version}
	for i := range documents {
		snapshot.Entries = append(snapshot.Entries, message.Entry{
			Customer: documents[i].Customer, Changed: version, Record: id, Operator: operator, Contract: &documents[i],
		})
	}
	return p.append(ctx, message.DeclarationRecord{Snapshot: snapshot}, id)
}

func (p *Publisher) append(ctx context.Context, record message.DeclarationRecord, id string) (stream.Position, error) {
	data, err := message.Encode(record)
	if err != nil {
		return stream.Position{}, err
	}
	position, err := p.log.Append(ctx, declarations.Stream, id, data)
	var doubt *platform.InDoubtError
	if err != nil && !errors.As(err, &doubt) {
		return stream.Position{}, err
	}
	if record.Snapshot != nil && err == nil {
		return position, nil
	}
	return p.Find(ctx, id)
}

// Find waits for the record with an id and returns what became of it. It reads
// on from where the Publisher is. The error is a *RejectedError, or an
// *UnknownError if the record has not been found when ctx ends.
func (p *Publisher) Find(ctx context.Context, id string) (stream.Position, error) {
	for {
		results, _, err := p.next(ctx, readWait)
		for _, r := range results {
			if r.Record != id {
				continue
			}
			if r.Err != nil {
				return r.Position, &RejectedError{record: id, cause: r.Err}
			}
			return r.Position, nil
		}
		if err == nil {
			continue
		}
		if !sleep(ctx, retryWait) {
			return stream.Position{}, &UnknownError{record: id, cause: err}
		}
	}
}

// sleep waits, and reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
