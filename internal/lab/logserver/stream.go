package logserver

import "time"

// record is one entry of a stream.
type record struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`

	appended time.Time
}

// stream is a sequence of records. The record at index i has offset first+i.
type stream struct {
	first   uint64
	records []record
	changed chan struct{} // closed when the stream changes
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// end returns the offset of the next record.
func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

// append adds a record and notifies waiting readers.
func (s *stream) append(id string, data []byte, now time.Time) uint64 {
	offset := s.end()
	s.records = append(s.records, record{Offset: offset, ID: id, Data: data, appended: now})
	s.notifyReaders()
	return offset
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns up to limit records, starting at offset from.
func (s *stream) read(from uint64, limit int) []record {
	if from < s.first {
		from = s.first
	}
	if from >= s.end() {
		return []record{}
	}
	rest := s.records[from-s.first:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return append([]record{}, rest...)
}

// trim removes the records with offsets below first.
func (s *stream) trim(first uint64) {
	first = min(first, s.end())
	if first <= s.first {
		return
	}
	s.records = append([]record(nil), s.records[first-s.first:]...)
	s.first = first
}

// retain removes the oldest records above count, and those appended before
// oldest.
func (s *stream) retain(count int, oldest time.Time) {
	first := s.first
	if len(s.records) > count {
		first = s.end() - uint64(count)
	}
	for first < s.end() && s.records[first-s.first].appended.Before(oldest) {
		first++
	}
	s.trim(first)
}
