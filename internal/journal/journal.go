package journal

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
)

const (
	// maxLinesPerSecond is the number of lines that WriteSampled logs for one
	// event in a second.
	maxLinesPerSecond = 3
	// maxBufferedBytes bounds the bytes that are waiting to be written.
	maxBufferedBytes = 64 << 10
)

// Journal logs events. It is safe for concurrent use.
type Journal struct {
	log *logrus.Logger
	out *asyncWriter

	mu      sync.Mutex
	second  int64       // Unix time to which counts apply
	counts  map[int]int // events in the current second, by number
	omitted map[int]int // lines omitted since the last one, by number
}

// New returns a journal that writes to w and adds fields to each line.
func New(w io.Writer, fields logrus.Fields) *Journal {
	out := &asyncWriter{dst: w, wake: make(chan struct{}, 1)}
	go out.run()
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.AddHook(&fieldsHook{fields: fields})
	return &Journal{log: log, out: out, counts: make(map[int]int), omitted: make(map[int]int)}
}

// Write logs an event without a rate limit. It is meant for infrequent events.
func (j *Journal) Write(e event.Event, fields logrus.Fields) { e.Log(j.log, fields) }

// WriteSampled logs an event with a rate limit. Beyond maxLinesPerSecond the
// event is only counted, and its next line states the number of omitted lines in
// the field "omitted". fields is called only if the line is logged.
func (j *Journal) WriteSampled(now time.Time, e event.Event, fields func() logrus.Fields) {
	j.mu.Lock()
	if s := now.Unix(); s != j.second {
		j.second = s
		clear(j.counts)
	}
	n := e.Number()
	j.counts[n]++
	if j.counts[n] > maxLinesPerSecond {
		j.omitted[n]++
		j.mu.Unlock()
		return
	}
	omitted := j.omitted[n]
	delete(j.omitted, n)
	j.mu.Unlock()
	f := fields()
	if omitted > 0 {
		f["omitted"] = omitted
	}
	e.Log(j.log, f)
}

// Flush waits until all logged lines have been written, but at most for d.
func (j *Journal) Flush(d time.Duration) { j.out.flush(d) }

// fieldsHook adds the same fields to each line.
type fieldsHook struct{ fields logrus.Fields }

// Levels implements logrus.Hook.
func (h *fieldsHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h *fieldsHook) Fire(e *logrus.Entry) error {
	for k, v := range h.fields {
		e.Data[k] = v
	}
	return nil
}

// asyncWriter writes lines to dst in a separate goroutine. A line that does not
// fit into the buffer is dropped and counted.
type asyncWriter struct {
	dst  io.Writer
	wake chan struct{}

	mu       sync.Mutex
	buffered []byte
	dropped  int
	writing  bool
}

// Write buffers a line. It never blocks and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *asyncWriter) run() {
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		data := w.buffered
		w.buffered, w.writing = spare[:0], true
		w.mu.Unlock()
		if _, err := w.dst.Write(data); err != nil {
			w.mu.Lock()
			w.dropped++
			w.mu.Unlock()
		}
		spare = data
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}

// flushPollInterval is the interval at which flush checks for completion.
const flushPollInterval = 5 * time.Millisecond

func (w *asyncWriter) flush(d time.Duration) {
	// Where many processes share a processor, each poll takes several intervals.
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.mu.Lock()
		idle := len(w.buffered) == 0 && !w.writing
		w.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(flushPollInterval)
	}
}
