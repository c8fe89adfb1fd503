package stream

// Batch is the result of one read of a stream.
type Batch struct {
	Generation uint64   // generation of the log; a log that was replaced has a larger one
	First      int64    // first retained offset
	End        int64    // offset that the next record will get
	Records    []Record // in rising order of offsets, starting at the wanted offset or at First
}

// Record is one record of a stream.
type Record struct {
	Offset int64
	ID     string // chosen by the writer; a record that was sent twice has the same one
	Data   []byte
}
