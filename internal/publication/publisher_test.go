package publication_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/document"
	"github.com/papayapath/papayapath/internal/platform"
	"github.com/papayapath/papayapath/internal/publication"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/declarations"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/stream"
)

var errLost = errors.New("answer lost")

// fakeLog is a log whose appends may lose their answers, or the record too.
type fakeLog struct {
	first   int64
	records []stream.Record
	answer  error  // in place of the answer to an append
	lose    bool   // the record is not kept
	before  func() // runs before an append
}

func (l *fakeLog) Append(_ context.Context, _, id string, data []byte) (platform.Position, error) {
	if l.before != nil {
		l.before()
	}
	if !l.lose {
		l.records = append(l.records, stream.Record{Offset: l.end(), ID: id, Data: data})
	}
	return stream.At(1, l.end()-1), l.answer
}

func (l *fakeLog) end() int64 { return l.first + int64(len(l.records)) }

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	b := platform.Batch{Generation: 1, First: l.first, End: l.end()}
	from = max(from, l.first)
	if from >= l.end() && wait > 0 {
		<-ctx.Done()
		return platform.Batch{}, ctx.Err()
	}
	if from < l.end() {
		b.Records = l.records[from-l.first : min(l.end(), from+int64(limit))-l.first]
	}
	return b, nil
}

func terms(customer string, rate float64) contract.Document {
	return contract.Document{
		Customer: customer, Rate: rate, Burst: 10, Window: contract.Duration(time.Hour),
		Calls: []contract.Call{{Name: "browse", Service: "catalogue", Path: "/", Importance: importance.High, Deadline: contract.Duration(time.Second)}},
	}
}

// publish reads the log and publishes the documents from what is in force.
func publish(t *testing.T, l *fakeLog, id string, documents ...contract.Document) (stream.Position, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	p := publication.New(l)
	_, err := p.Read(ctx)
	require.NoError(t, err)
	return p.Publish(ctx, publication.Compare(p.State(), documents, false), id, "anna")
}

// Guards against a change reported as unknown or as failed although it is in
// force, because only its answer was lost.
func TestPublishWithLostAnswer(t *testing.T) {
	l := &fakeLog{answer: &platform.InDoubtError{}}
	position, err := publish(t, l, "a", terms("brest", 1))
	require.NoError(t, err)
	require.Equal(t, stream.At(1, 0), position)
}

// Guards against a change in doubt reported as failed: it may still come.
func TestPublishInDoubt(t *testing.T) {
	var unknown *publication.UnknownError
	_, err := publish(t, &fakeLog{answer: &platform.InDoubtError{}, lose: true}, "a", terms("brest", 1))
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "a", unknown.Record())
	_, err = publish(t, &fakeLog{answer: errLost, lose: true}, "a", terms("brest", 1))
	require.ErrorIs(t, err, errLost)
	require.False(t, errors.As(err, &unknown), "a refused append is not in doubt")
}

// Guards against the second of two operators being told that its change is in
// force.
func TestPublishConflict(t *testing.T) {
	l := &fakeLog{}
	l.before = func() {
		l.before = nil
		_, err := publish(t, l, "first", terms("brest", 2))
		require.NoError(t, err)
	}
	_, err := publish(t, l, "second", terms("brest", 1))
	var rejected *publication.RejectedError
	var conflict *declarations.ConflictError
	require.ErrorAs(t, err, &rejected)
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "first", conflict.Winner())
}

// Guards against contracts that end because another directory is published,
// and against changes that are not noticed.
func TestCompare(t *testing.T) {
	l := &fakeLog{}
	_, err := publish(t, l, "a", terms("brest", 1), terms("vannes", 1), terms("lorient", 1))
	require.NoError(t, err)
	p := publication.New(l)
	_, err = p.Read(context.Background())
	require.NoError(t, err)
	wanted := []contract.Document{terms("brest", 2), terms("quimper", 1), terms("lorient", 1)}
	steps := func(prune bool) []string {
		var all []string
		for _, s := range publication.Compare(p.State(), wanted, prune).Steps {
			all = append(all, s.Effect.String()+" "+s.Customer)
		}
		return all
	}
	require.Equal(t, []string{"change brest", "add quimper", "keep vannes"}, steps(false))
	require.Equal(t, []string{"change brest", "add quimper", "remove vannes"}, steps(true))
	require.True(t, publication.Compare(p.State(), []contract.Document{terms("brest", 1)}, false).IsEmpty())
}

// Guards against a plan made from a part of the log, and against a log that
// stays unusable after all contracts were trimmed.
func TestResetOfTrimmedLog(t *testing.T) {
	l := &fakeLog{first: 7}
	p := publication.New(l)
	var incomplete *publication.IncompleteError
	_, err := p.Read(context.Background())
	require.ErrorAs(t, err, &incomplete)
	_, err = p.Reset(context.Background(), []contract.Document{terms("brest", 3)}, "r", "anna")
	require.NoError(t, err)
	again := publication.New(l)
	_, err = again.Read(context.Background())
	require.NoError(t, err)
	c, ok := again.State().Contract("brest")
	require.True(t, ok)
	require.InDelta(t, 3, c.Rate(), 0)
}

// Guards against a directory that is published in part.
func TestLoad(t *testing.T) {
	folder := t.TempDir()
	_, err := publication.Load(folder)
	var empty *publication.EmptyError
	require.ErrorAs(t, err, &empty)
	for _, d := range []string{"regie", "nilegear"} {
		all, err := publication.Load(filepath.Join("..", "..", "examples", d))
		require.NoError(t, err)
		require.Greater(t, len(all), 2)
		for _, c := range all {
			requireCritical(t, c)
		}
	}
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", "regie", "brest.json"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "a.json"), data, 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "b.json"), data, 0o600))
	var duplicate *publication.DuplicateError
	_, err = publication.Load(folder)
	require.ErrorAs(t, err, &duplicate)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "b.json"), []byte("{}"), 0o600))
	var faults document.Faults
	_, err = publication.Load(folder)
	require.ErrorAs(t, err, &faults)
}

// requireCritical checks the rule of the users that reservations and stamped
// checks are critical and not repeatable.
func requireCritical(t *testing.T, c contract.Document) {
	t.Helper()
	for _, call := range c.Calls {
		if call.Name == "reserve" || call.Name == "certify" {
			require.Equal(t, importance.Critical, call.Importance)
			require.False(t, call.Repeat)
		}
	}
}
