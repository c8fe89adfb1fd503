package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run, one event a line.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Start returns the time to which the times in the record refer.
func (r *Record) Start() time.Time { return r.start }

// Printf writes a line with the present time in seconds.
func (r *Record) Printf(format string, args ...any) {
	now := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f  ", now.Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

// Close writes what is buffered.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
