package journal

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayapath/papayapath/internal/event"
)

const (
	// burst is the number of lines of one event in a second from which on
	// lines are left out.
	burst = 10
	// backlog is the number of bytes that wait to be written at most.
	backlog = 64 << 10
)

// Journal writes events. It is safe for concurrent use.
type Journal struct {
	log *logrus.Logger
	out *writer

	mu     sync.Mutex
	second int64
	counts map[int]int
	missed map[int]int
}

// New returns a journal that writes to w, with fields on each line.
func New(w io.Writer, fields logrus.Fields) *Journal {
	out := &writer{to: w, wake: make(chan struct{}, 1)}
	go out.run()
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	log.AddHook(&constant{fields: fields})
	return &Journal{log: log, out: out, counts: make(map[int]int), missed: make(map[int]int)}
}

// Write logs an event, whatever its rate. It is meant for rare events.
func (j *Journal) Write(e event.Event, fields logrus.Fields) { e.Log(j.log, fields) }

// WriteSampled logs an event that can be frequent. Beyond some lines a second it is
// only counted; the next line of the event tells how many were left out.
func (j *Journal) WriteSampled(now time.Time, e event.Event, fields func() logrus.Fields) {
	j.mu.Lock()
	if s := now.Unix(); s != j.second {
		j.second = s
		clear(j.counts)
	}
	n := e.Number()
	j.counts[n]++
	if j.counts[n] > burst {
		j.missed[n]++
		j.mu.Unlock()
		return
	}
	missed := j.missed[n]
	delete(j.missed, n)
	j.mu.Unlock()
	f := fields()
	if missed > 0 {
		f["omitted"] = missed
	}
	e.Log(j.log, f)
}

// Flush waits until what was logged has been written, for d at most.
func (j *Journal) Flush(d time.Duration) { j.out.flush(d) }

// constant adds the same fields to each line.
type constant struct{ fields logrus.Fields }

// Levels returns all levels.
func (c *constant) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the fields to an entry.
func (c *constant) Fire(e *logrus.Entry) error {
	for k, v := range c.fields {
		e.Data[k] = v
	}
	return nil
}

// writer passes lines to another writer from a goroutine of its own. Lines that
// find the backlog full are dropped and counted.
type writer struct {
	to   io.Writer
	wake chan struct{}

	mu      sync.Mutex
	waiting []byte
	dropped int
	writing bool
}

// Write takes a line. It never blocks and never fails.
func (w *writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > backlog {
		w.dropped++
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *writer) run() {
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		data := w.waiting
		w.waiting, w.writing = spare[:0], true
		w.mu.Unlock()
		if _, err := w.to.Write(data); err != nil {
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

// flushPause is the time between two looks at whether all has been written.
const flushPause = 5 * time.Millisecond

func (w *writer) flush(d time.Duration) {
	for ; d > 0; d -= flushPause {
		w.mu.Lock()
		idle := len(w.waiting) == 0 && !w.writing
		w.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(flushPause)
	}
}
