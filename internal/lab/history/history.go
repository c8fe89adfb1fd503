package history

import (
	"maps"
	"sync"
	"time"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Run is one run of a call on a backend server.
type Run struct {
	wire.Identity
	Service string
	Start   time.Time
	End     time.Time // zero while it runs
}

// Refusal is a call that was refused for overload.
type Refusal struct {
	Root    string
	Service string
	At      time.Time
}

// Request is a customer request as its client sees it.
type Request struct {
	Root       string
	Service    string
	Importance importance.Level
	Arrived    time.Time
	Completed  time.Time     // when the whole answer was there; zero if it never was
	Deadline   time.Duration // time limit of one send
	Attempts   int
}

// Latency returns the time from the arrival to the whole answer.
func (r Request) Latency() time.Duration { return r.Completed.Sub(r.Arrived) }

// Complete reports whether the request got its whole answer.
func (r Request) Complete() bool { return !r.Completed.IsZero() }

// InTime reports whether the whole answer came within one time limit.
func (r Request) InTime() bool { return r.Complete() && r.Latency() <= r.Deadline }

// Report is what a caller was told of one send of a request.
type Report struct {
	Root    string
	Attempt int
	Service string
	NotRun  bool
}

// History is a record of one experiment. Its methods may be called from any
// goroutine.
type History struct {
	mu          sync.Mutex
	runs        []Run
	refusals    []Refusal
	requests    []Request
	reports     []Report
	importances map[string]importance.Level
	verdicts    map[answer.Verdict]int
}

// New returns an empty history.
func New() *History {
	return &History{
		verdicts:    make(map[answer.Verdict]int),
		importances: make(map[string]importance.Level),
	}
}

// Start records that a run has started, and returns its number for End.
func (h *History) Start(r Run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
	return len(h.runs) - 1
}

// End records that a run has ended.
func (h *History) End(run int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[run].End = at
}

// RecordRefusal records a refusal for overload.
func (h *History) RecordRefusal(r Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, r)
}

// RecordRequest records the fate of a customer request.
func (h *History) RecordRequest(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// Report records what a caller was told.
func (h *History) Report(c Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, c)
}

// RecordVerdict counts an answer that was given out as complete.
func (h *History) RecordVerdict(v answer.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.verdicts[v]++
}

// Runs returns the runs so far.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// Refusals returns the refusals for overload so far.
func (h *History) Refusals() []Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Refusal(nil), h.refusals...)
}

// Requests returns the customer requests that have ended.
func (h *History) Requests() []Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Request(nil), h.requests...)
}

// Importances returns the importance of each customer request that was sent.
func (h *History) Importances() map[string]importance.Level {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.importances)
}

// RecordImportance records that a customer request is being sent for the first time.
func (h *History) RecordImportance(root string, level importance.Level) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.importances[root] = level
}

// Reports returns what callers were told so far.
func (h *History) Reports() []Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Report(nil), h.reports...)
}

// VerdictCount returns how many answers were given a verdict.
func (h *History) VerdictCount(v answer.Verdict) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.verdicts[v]
}
