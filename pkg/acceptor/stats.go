package acceptor

import (
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/priority"
)

// reasonCount has room for every outcome.Reason.
const reasonCount = 32

// counters count since the start of the node.
type counters struct {
	offered   uint64
	started   uint64
	completed uint64
	preempted uint64
	refused   [reasonCount]uint64
}

func (c *counters) refuse(reason outcome.Reason) { c.refused[reason%reasonCount]++ }

// Stats is the state of an Acceptor at one moment, for metrics and status.
type Stats struct {
	service   string
	draining  bool
	running   int
	waiting   int
	suspects  int
	blocked   int
	limit     int
	threshold priority.Priority
	counters  counters
}

// Stats returns the present state.
func (a *Acceptor) Stats() Stats {
	return Stats{
		service:   a.service,
		draining:  a.draining,
		running:   a.running.Len(),
		waiting:   a.queue.Len(),
		suspects:  a.suspects.Len(),
		blocked:   a.blocked.Len(),
		limit:     a.limiter.Limit(),
		threshold: a.admission.Threshold(),
		counters:  a.counters,
	}
}

// Service returns the announced service, or an empty string.
func (s Stats) Service() string { return s.service }

// Draining reports whether new offers are refused.
func (s Stats) Draining() bool { return s.draining }

// Running returns the calls on the backend server.
func (s Stats) Running() int { return s.running }

// Queued returns the admitted calls that wait for their turn.
func (s Stats) Queued() int { return s.waiting }

// Suspects returns the calls that wait to run alone.
func (s Stats) Suspects() int { return s.suspects }

// Blocked returns the calls that wait for a run of the same key.
func (s Stats) Blocked() int { return s.blocked }

// Limit returns how many calls may be in flight.
func (s Stats) Limit() int { return s.limit }

// Threshold returns the lowest priority that is queued under load.
func (s Stats) Threshold() priority.Priority { return s.threshold }

// Offered returns the offers since the start.
func (s Stats) Offered() uint64 { return s.counters.offered }

// Started returns the calls handed over since the start.
func (s Stats) Started() uint64 { return s.counters.started }

// Completed returns the runs that the backend server answered.
func (s Stats) Completed() uint64 { return s.counters.completed }

// Preempted returns the runs that gave way to Critical calls.
func (s Stats) Preempted() uint64 { return s.counters.preempted }

// Refused returns the calls that were refused for a reason.
func (s Stats) Refused(reason outcome.Reason) uint64 {
	if reason >= reasonCount {
		return 0
	}
	return s.counters.refused[reason]
}
