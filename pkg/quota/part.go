package quota

import "time"

const (
	// answerTime is the time after which a request to an allocator counts as lost. An
	// answer that comes later holds no valid tokens, and is ignored.
	answerTime = time.Second
	// failureDelay is the time for which a part is not asked after a failure.
	failureDelay = 100 * time.Millisecond
	// An allocator is slow, and another one is asked in its place, if its answer takes
	// slowFactor times as long as answers usually take. An answer that is only delayed
	// by other load should not count, since the tokens of one of the two answers expire
	// unused.
	slowFactor  = 4
	minSlowTime = 30 * time.Millisecond
	maxSlowTime = 250 * time.Millisecond
	// delayWeight is the weight of a new answer in the mean time of answers.
	delayWeight = 0.2
)

// part is what an entry node knows of one part of the limit.
type part struct {
	wanted int       // tokens asked for in the request in progress; 0 if there is none
	sent   time.Time // of the request in progress
	empty  time.Time // the allocator has no token before, as far as it has told
	failed time.Time // it is not asked before, because a request failed
}

// isAskable reports whether a request may be sent to the allocator.
func (p *part) isAskable(now time.Time) bool {
	return p.wanted == 0 && !p.isEmpty(now) && !now.Before(p.failed)
}

func (p *part) isEmpty(now time.Time) bool { return now.Before(p.empty) }

// isPending reports whether an answer is expected within the usual time.
func (p *part) isPending(now time.Time, slow time.Duration) bool {
	return p.wanted > 0 && now.Sub(p.sent) < slow
}

// expire gives up a request whose answer is of no use any more.
func (p *part) expire(now time.Time) {
	if p.wanted > 0 && now.Sub(p.sent) >= answerTime {
		p.wanted = 0
	}
}
