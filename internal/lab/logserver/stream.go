package logserver

import "time"

// record is one entry of a stream.
type record struct {
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`

	appended time.Time
}

// stream is a sequence of records. The record with offset first+i is at
// index i.
type stream struct {
	first   uint64
	records []record
	changed chan struct{} // closed by the next append
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// end returns the offset that the next record will get.
func (s *stream) end() uint64 { return s.first + uint64(len(s.records)) }

// append adds a record and wakes the readers that wait for it.
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

// read returns up to limit records from an offset on.
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

// trim drops the records below an offset.
func (s *stream) trim(first uint64) {
	first = min(first, s.end())
	if first <= s.first {
		return
	}
	s.records = append([]record(nil), s.records[first-s.first:]...)
	s.first = first
}

// retain drops the records over count and those older than oldest.
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
