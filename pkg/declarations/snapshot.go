package declarations

import (
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
)

// Times of snapshots.
const (
	// writers is the number of log readers that append snapshots.
	writers = 3
	// firstPart and stepPart are parts of the retention: the age at which the
	// first writer appends a snapshot, and the head start that it has over
	// the next one. The last writer's turn comes well before half of the
	// retention has passed.
	firstPart = 4
	stepPart  = 32
	// step is the head start where the age of the last snapshot is unknown,
	// or where a new generation of the log lacks what is in force.
	step = time.Second
	// maxSteps bounds the wait of nodes that are far back in the order.
	maxSteps = 32
	// retry is the time after which an append is taken to have failed.
	retry = 10 * time.Second
	// examineInterval is the time between two checks, since ranking the
	// readers takes a hash of each.
	examineInterval = time.Second
)

// Snapshot returns the data of a record that this node must append now, so
// that the log never trims what is in force. Readers are the nodes that read
// the log, this one included. Duplicates in the log are harmless.
func (s *State) Snapshot(now time.Time, readers []instance.ID) ([]byte, bool) {
	if now.Before(s.examineAt) {
		return nil, false
	}
	s.examineAt = now.Add(examineInterval)
	table, due := s.due(now, readers)
	if !due || (!s.attemptAt.IsZero() && now.Sub(s.attemptAt) < retry) {
		return nil, false
	}
	data, err := message.Encode(message.DeclarationRecord{Snapshot: table})
	if err != nil {
		return nil, false
	}
	s.attemptAt = now
	return data, true
}

func (s *State) due(now time.Time, readers []instance.ID) (*message.Snapshot, bool) {
	if s.force == nil || !s.followed {
		return nil, false
	}
	if s.rescue != nil && s.reading().contains(s.rescue.Version) {
		s.rescue = nil
	}
	if s.rescue != nil {
		return s.rescue, true
	}
	if !s.isDue(now, readers) {
		return nil, false
	}
	table := s.force.since(zero)
	return &table, true
}

func (s *State) isDue(now time.Time, readers []instance.ID) bool {
	switch {
	case s.caughtUp.IsZero():
		return false
	case s.isStuck():
		return now.Sub(s.stuckSince) >= time.Duration(min(s.rank(readers), maxSteps))*step
	case s.next != nil || len(s.force.entries) == 0:
		return false
	case s.snapshotAt.IsZero():
		rank := s.rank(readers)
		return rank < writers && now.Sub(s.caughtUp) >= time.Duration(rank)*step
	case now.Sub(s.snapshotAt) < s.retention/firstPart:
		return false
	}
	rank := s.rank(readers)
	wait := s.retention/firstPart + time.Duration(rank)*(s.retention/stepPart)
	return rank < writers && now.Sub(s.snapshotAt) >= wait
}

// isStuck reports whether the log has been read to its end and lacks what is
// in force.
func (s *State) isStuck() bool {
	return s.next != nil && !s.stuckSince.IsZero() &&
		s.next.version.Generation > s.force.version.Generation
}

// rank returns the place of this node in the order of the readers by
// rendezvous hashing.
func (s *State) rank(readers []instance.ID) int {
	own, rank := score(s.self), 0
	for _, r := range readers {
		if r != s.self && score(r) > own {
			rank++
		}
	}
	return rank
}
