package declarations

import (
	"time"

	"github.com/papayapath/papayapath/pkg/stream"
)

// From returns the offset from which the next read of the log must start.
func (s *State) From() int64 {
	if t := s.reading(); t != nil {
		return t.version.Offset + 1
	}
	return 0
}

// Log applies a batch that was read from offset From. Records that are known
// already or that don't follow the last one are skipped.
func (s *State) Log(now time.Time, batch stream.Batch) {
	s.followed = true
	if !s.position(batch) {
		return
	}
	t := s.reading()
	for _, r := range batch.Records {
		if r.Offset == t.version.Offset+1 {
			s.record(t, r)
		}
	}
	s.promote(now)
	s.arrive(now, batch)
}

// position makes reading return the table that the batch continues. It
// reports false if there is none, because the log went back or because peers
// know of a newer generation.
func (s *State) position(batch stream.Batch) bool {
	end := stream.At(batch.Generation, batch.End)
	if s.read.After(end) {
		s.results = append(s.results, Result{Position: end, Err: &RegressionError{seen: s.read, end: end}})
	}
	s.read = end
	s.rejoin(batch)
	t := s.reading()
	if t != nil && batch.Generation < t.version.Generation {
		return false
	}
	if t == nil || batch.Generation > t.version.Generation || t.version.Offset+1 < batch.First {
		s.next = newTable(batch.Generation, batch.First)
		s.stuckSince = time.Time{}
	}
	return true
}

// rejoin gives up a table under construction if peers have meanwhile brought
// the one in force to where the log can be read on.
func (s *State) rejoin(batch stream.Batch) {
	if s.next == nil || s.force == nil || s.next.ready {
		return
	}
	v := s.force.version
	if v.Generation == batch.Generation && v.Offset+1 >= batch.First {
		s.next = nil
	}
}

func (s *State) record(t *table, r stream.Record) {
	position := stream.At(t.version.Generation, r.Offset)
	wasReady := t.ready
	change, err := t.append(position, r.ID, r.Data)
	if wasReady {
		s.results = append(s.results, Result{Position: position, Record: r.ID, Change: change, Err: err})
	}
}

// promote puts the table under construction into force once nothing that this
// node or a peer had in force is missing from it.
func (s *State) promote(now time.Time) {
	if s.next == nil || !s.next.ready || !s.hasSeen(now, s.next) {
		return
	}
	if s.force != nil && !s.next.contains(s.force.version) {
		return
	}
	s.force, s.next = s.next, nil
	s.stuckSince = time.Time{}
}

// arrive notes when the end of the log was reached.
func (s *State) arrive(now time.Time, batch stream.Batch) {
	if s.force != nil {
		s.note(now, s.force.version)
	}
	t := s.reading()
	if t.version.Offset+1 < batch.End {
		return
	}
	s.date(now, t)
	if s.caughtUp.IsZero() {
		s.caughtUp = now
	}
	if s.next == nil {
		s.start(now)
		return
	}
	if s.stuckSince.IsZero() {
		s.stuckSince = now
	}
}

// date notes the time of a new snapshot. The age of snapshots that were in
// the log before its end was first reached is not known.
func (s *State) date(now time.Time, t *table) {
	if t.snapshot == s.snapshot {
		return
	}
	s.snapshot = t.snapshot
	if !s.caughtUp.IsZero() {
		s.snapshotAt = now
	}
}
