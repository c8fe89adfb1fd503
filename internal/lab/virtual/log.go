package virtual

import (
	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/node"
	"github.com/papayapath/papayapath/pkg/stream"
)

// batchSize is the maximum number of records per read.
const batchSize = 1000

// log is a fake of the platform log.
type log struct {
	generation  uint64
	down        bool
	lostReplies int // number of upcoming appends whose replies are lost
	streams     map[string]*streamRecords
}

// streamRecords holds the retained records of a stream. first is the offset of the
// oldest one.
type streamRecords struct {
	first int64
	list  []stream.Record
}

func newLog() *log { return &log{generation: 1, streams: make(map[string]*streamRecords)} }

// downError is the error of reads while the log is down.
type downError struct{}

func (downError) Error() string { return "log is down" }

func (l *log) stream(name string) *streamRecords {
	s := l.streams[name]
	if s == nil {
		s = &streamRecords{}
		l.streams[name] = s
	}
	return s
}

// append adds a record and returns the result that the writer receives.
func (l *log) append(a node.Append) guard.Result {
	if l.down {
		return guard.Failed
	}
	s := l.stream(a.Stream)
	offset := s.first + int64(len(s.list))
	s.list = append(s.list, stream.Record{Offset: offset, ID: a.ID, Data: a.Data})
	if l.lostReplies > 0 {
		l.lostReplies--
		return guard.InDoubt
	}
	return guard.Appended
}

func (l *log) read(name string, from int64) (stream.Batch, error) {
	if l.down {
		return stream.Batch{}, downError{}
	}
	s := l.stream(name)
	end := s.first + int64(len(s.list))
	start := min(max(from, s.first), end)
	list := s.list[start-s.first:]
	return stream.Batch{
		Generation: l.generation, First: s.first, End: end,
		Records: list[:min(len(list), batchSize)],
	}, nil
}

// trim removes all but the newest keep records of a stream.
func (l *log) trim(name string, keep int) {
	s := l.stream(name)
	drop := max(0, len(s.list)-keep)
	s.first += int64(drop)
	s.list = s.list[drop:]
}

// replace starts a new, empty generation.
func (l *log) replace() {
	l.generation++
	l.streams = make(map[string]*streamRecords)
}
