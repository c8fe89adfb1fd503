package intake

import (
	"time"

	"github.com/papayapath/papayapath/pkg/notice"
)

// MinRate is the lowest rate, in requests a second, that is used, even if a server
// names a lower limit: without any request no answer could say that it has ended.
const MinRate = 0.25

const (
	// burstTime is the time whose requests may be sent at once after a pause.
	burstTime = 250 * time.Millisecond
	// confirmingAnswers is the number of consecutive answers without a limit
	// that end it. Answers can overtake each other.
	confirmingAnswers = 3
)

// Intake is the rate of requests that one incarnation of a backend server takes
// from all nodes together. It is kept by the node beside the server, which sends
// all of them. The zero value has no limit.
//
// An Intake is not safe for concurrent use.
type Intake struct {
	limited   bool
	answered  bool    // the server itself has answered
	rate      float64 // if limited, requests a second
	tokens    float64 // requests that may be sent at updated; negative if more were sent
	updated   time.Time
	named     time.Time // last answer that named the limit
	unlimited int       // consecutive answers without a limit
}

// Observe records an answer of the server to a request that was sent at sent. An
// answer to a request from before the last naming of the limit does not end it.
func (i *Intake) Observe(now, sent time.Time, n notice.Notice) {
	i.answered = true
	switch {
	case n.Limited:
		i.set(now, n.Rate, 0)
		i.named, i.unlimited = now, 0
	case i.limited && sent.After(i.named):
		i.unlimited++
		if i.unlimited >= confirmingAnswers {
			i.limited = false
		}
	}
}

// Adopt sets a limit that another node heard the server name, unless a lower one
// is set. It has no effect once the server itself has answered.
func (i *Intake) Adopt(now time.Time, rate float64) {
	if !i.answered && (!i.limited || rate < i.rate) {
		i.set(now, rate, 1)
	}
}

// set sets the limit. A limit where there was none begins with the given number
// of tokens.
func (i *Intake) set(now time.Time, rate, tokens float64) {
	if i.limited {
		i.advance(now)
	} else {
		i.tokens, i.updated = tokens, now
	}
	i.limited, i.rate = true, max(rate, MinRate)
}

// advance adds the tokens of the time since the last update.
func (i *Intake) advance(now time.Time) {
	if elapsed := now.Sub(i.updated); elapsed > 0 {
		i.tokens = min(i.burst(), i.tokens+i.rate*elapsed.Seconds())
		i.updated = now
	}
}

// burst returns the maximum number of tokens.
func (i *Intake) burst() float64 { return max(1, i.rate*burstTime.Seconds()) }

// Delay returns the time until a request may be sent, 0 if it may be sent now.
func (i *Intake) Delay(now time.Time) time.Duration {
	if !i.limited {
		return 0
	}
	i.advance(now)
	if i.tokens >= 1 {
		return 0
	}
	return max(time.Nanosecond, time.Duration((1-i.tokens)/i.rate*float64(time.Second)))
}

// Take records that a request is sent.
func (i *Intake) Take(now time.Time) {
	if i.limited {
		i.advance(now)
		i.tokens--
	}
}

// Rate returns the limit in requests a second. It returns false if there is none.
func (i *Intake) Rate() (perSecond float64, ok bool) { return i.rate, i.limited }
