package logserver

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Default settings of a log.
const (
	DefaultRate     = 300     // appends per second
	DefaultCount    = 100_000 // maximum records per stream
	DefaultAge      = time.Hour
	firstGeneration = 1
	defaultPageSize = 1000 // maximum records per response if the reader sets no limit
)

// Log simulates the platform log. Its methods are safe for concurrent use.
type Log struct {
	limiter *rate.Limiter
	count   int
	age     time.Duration

	mu            sync.Mutex
	generation    uint64
	streams       map[string]*stream
	down          bool
	delay         time.Duration
	lostResponses int
	appends       int
}

// Option configures a Log.
type Option func(*Log)

// New returns an empty log of generation 1.
func New(options ...Option) *Log {
	l := &Log{
		limiter:    rate.NewLimiter(DefaultRate, DefaultRate),
		count:      DefaultCount,
		age:        DefaultAge,
		generation: firstGeneration,
		streams:    make(map[string]*stream),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// WithRate sets the maximum number of appends per second. Appends above it are
// rejected with status 429 and have no effect.
func WithRate(appends int) Option {
	return func(l *Log) { l.limiter = rate.NewLimiter(rate.Limit(appends), appends) }
}

// WithRetention sets the maximum number and age of the records in a stream.
func WithRetention(count int, age time.Duration) Option {
	return func(l *Log) { l.count, l.age = count, age }
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// SetFaults applies the changes in f.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Down != nil {
		l.down = *f.Down
	}
	if f.Delay != nil {
		l.delay = time.Duration(*f.Delay) * time.Millisecond
	}
	if f.LoseResponses != nil {
		l.lostResponses = *f.LoseResponses
	}
	if f.Trim != nil {
		l.stream(f.Trim.Stream).trim(f.Trim.First)
	}
	if f.Generation {
		l.startGeneration()
	}
}

// startGeneration starts a new generation with empty streams. The caller holds
// l.mu.
func (l *Log) startGeneration() {
	l.generation++
	old := l.streams
	l.streams = make(map[string]*stream)
	for _, s := range old {
		s.notifyReaders()
	}
}

// stream returns the named stream and creates it if necessary. The caller
// holds l.mu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

// append adds a record and reports whether its response must be dropped.
func (l *Log) append(name, id string, data []byte, now time.Time) (generation, offset uint64, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset = s.append(id, data, now)
	s.retain(l.count, now.Add(-l.age))
	l.appends++
	if l.lostResponses > 0 {
		l.lostResponses--
		lost = true
	}
	return l.generation, offset, lost
}

// page is the response to a read.
type page struct {
	Generation uint64   `json:"generation"`
	First      uint64   `json:"first"`
	End        uint64   `json:"end"`
	Records    []record `json:"records"`
}

// read returns a page, and a channel that is closed when the stream changes.
func (l *Log) read(name string, from uint64, limit int, now time.Time) (page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.retain(l.count, now.Add(-l.age))
	return page{
		Generation: l.generation, First: s.first, End: s.end(), Records: s.read(from, limit),
	}, s.changed
}

// state returns whether the log is down and the delay of its responses.
func (l *Log) state() (down bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down, l.delay
}
