package stream

// Batch is the result of one read of a stream.
type Batch struct {
	Generation uint64   // generation of the log, which grows when the log is replaced
	First      int64    // first retained offset
	End        int64    // offset of the next record to be written
	Records    []Record // in ascending order of offset, from the requested offset or First
}

// Record is one record of a stream.
type Record struct {
	Offset int64
	ID     string // chosen by the writer; a record that was sent twice keeps its ID
	Data   []byte
}
