package ownership

import "github.com/papayapath/papayapath/pkg/message"

// Entry is one decoded record of the stream and its offset.
type Entry struct {
	Offset uint64
	Record message.OwnerRecord
}

// Batch is the result of one read of the stream. It covers the offsets from
// From up to, but not including, Next. Records of other services, and records
// that can't be decoded, may be left out.
type Batch struct {
	Generation uint64
	First      uint64 // first retained offset
	From       uint64
	Next       uint64
	End        uint64 // offset that the next record will get
	Entries    []Entry
}

// Progress says what a batch did to a Table.
type Progress struct {
	Tables   []View // tables and releases that came into force, in log order
	AtEnd    bool   // the batch reaches the end of the log, and the table has every record up to there
	Reset    bool   // what was known before no longer holds: new generation, end went back, or records missed
	Rejected int    // records of the service that don't count
}

// View is one table of the log. A release has no owners.
type View struct {
	Epoch  uint64
	Owners Owners
	First  bool // no table came before it in its log generation
}
