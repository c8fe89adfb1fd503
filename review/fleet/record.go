package fleet

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord returns a record that is written to the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.file.WriteString(line) //nolint:errcheck // the check does not depend on the record
	fmt.Print(line)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() } //nolint:errcheck // the check does not depend on the record
