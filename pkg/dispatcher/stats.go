package dispatcher

import (
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Counter names a count of events since the start of the dispatcher.
type Counter uint8

// Counters.
const (
	Arrived   Counter = iota // calls that arrived
	Offered                  // attempts sent, redirects and retries included
	Redirects                // attempts after a proof that the one before was not run
	Retries                  // attempts after one that may have run
	Expired                  // calls ended by their deadline
	Late                     // answers and losses of attempts that no longer counted
	Completed                // calls that ended complete
	Refused                  // calls that ended as not run
	Doubtful                 // calls that ended as unknown
	counters
)

var counterNames = [counters]string{
	"arrived", "offered", "redirects", "retries", "expired", "late", "completed", "refused", "doubtful",
}

// String returns the name of the counter.
func (c Counter) String() string {
	if c >= counters {
		return "counter"
	}
	return counterNames[c]
}

// Stats is a copy of all counters.
type Stats struct {
	counts [counters]uint64
}

// Count returns the value of a counter.
func (s Stats) Count(c Counter) uint64 {
	if c >= counters {
		return 0
	}
	return s.counts[c]
}

// Stats returns the present counts.
func (d *Dispatcher) Stats() Stats { return d.stats }

func (s *Stats) add(c Counter) { s.counts[c]++ }

func (s *Stats) end(a *message.Answer) {
	switch a.Outcome {
	case outcome.Complete:
		s.add(Completed)
	case outcome.NotRun:
		s.add(Refused)
	default:
		s.add(Doubtful)
	}
}
