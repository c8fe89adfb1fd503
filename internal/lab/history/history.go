package history

import (
	"maps"
	"sync"
	"time"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/importance"
)

// Run is one execution of a call on a backend server.
type Run struct {
	wire.Identity
	Service string
	Start   time.Time
	End     time.Time // zero while running
}

// Refusal is a call that was refused because of overload.
type Refusal struct {
	Root    string
	Service string
	At      time.Time
}

// Request is a customer request as observed by its client.
type Request struct {
	Root       string
	Service    string
	Importance importance.Level
	Arrived    time.Time
	Completed  time.Time     // time of the complete response; zero if there was none
	Deadline   time.Duration // time limit of one attempt
	Attempts   int
}

// Latency returns the time from the arrival to the complete response.
func (r Request) Latency() time.Duration { return r.Completed.Sub(r.Arrived) }

// Complete reports whether the request received its complete response.
func (r Request) Complete() bool { return !r.Completed.IsZero() }

// InTime reports whether the latency is within the time limit of one attempt.
func (r Request) InTime() bool { return r.Complete() && r.Latency() <= r.Deadline }

// Report is the outcome that a caller received for one attempt of a request.
type Report struct {
	Root    string
	Attempt int
	Service string
	NotRun  bool
}

// History records one experiment. Its methods are safe for concurrent use.
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

// Start records the start of a run, and returns its index for End.
func (h *History) Start(r Run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
	return len(h.runs) - 1
}

// End records the end of a run.
func (h *History) End(run int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[run].End = at
}

// RecordRefusal records a refusal because of overload.
func (h *History) RecordRefusal(r Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, r)
}

// RecordRequest records the result of a customer request.
func (h *History) RecordRequest(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// Report records the outcome that a caller received.
func (h *History) Report(c Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, c)
}

// RecordVerdict counts a response that was delivered as complete, by its
// verdict.
func (h *History) RecordVerdict(v answer.Verdict) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.verdicts[v]++
}

// Runs returns a copy of the runs recorded so far.
func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

// Refusals returns a copy of the overload refusals recorded so far.
func (h *History) Refusals() []Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Refusal(nil), h.refusals...)
}

// Requests returns a copy of the customer requests that have ended.
func (h *History) Requests() []Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Request(nil), h.requests...)
}

// Importances returns the importance of each sent customer request by its ID.
func (h *History) Importances() map[string]importance.Level {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.importances)
}

// RecordImportance records the importance of a customer request before its
// first attempt.
func (h *History) RecordImportance(root string, level importance.Level) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.importances[root] = level
}

// Reports returns a copy of the outcomes that callers received so far.
func (h *History) Reports() []Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Report(nil), h.reports...)
}

// VerdictCount returns the number of responses with verdict v.
func (h *History) VerdictCount(v answer.Verdict) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.verdicts[v]
}
