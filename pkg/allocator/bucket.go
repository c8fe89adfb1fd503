package allocator

import "time"

const (
	// minSpacing is the least time between two requests for which a part tells entry
	// nodes to come back. It bounds the messages for one customer beyond its limit to
	// 100 a second for each part.
	minSpacing = 10 * time.Millisecond
	// maxQueue is the longest time for which an entry node is told to wait although a
	// token comes earlier, because other nodes come before it.
	maxQueue = 2 * time.Second
	// maxWait bounds the wait for the next token of customers with a very low rate.
	maxWait = time.Minute
)

// bucket is the token bucket of a customer in one part.
type bucket struct {
	tokens  float64
	updated time.Time
	next    time.Time // when the next entry node is told to come back
}

// advance adds the tokens of the time since the last update.
func (b *bucket) advance(now time.Time, l limit) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(l.depth, b.tokens+l.rate*elapsed.Seconds())
		b.updated = now
	}
}

// take removes up to wanted tokens and returns how many it removed.
func (b *bucket) take(wanted int) int {
	n := max(0, int(min(float64(wanted), b.tokens)))
	b.tokens -= float64(n)
	return n
}

// wait returns the time after which an entry node that wants another token is to ask for
// it. Nodes that wait are told to come one after another, as fast as tokens become
// available. The tokens are not reserved: if a node does not come, others get more.
func (b *bucket) wait(now time.Time, l limit) time.Duration {
	token := seconds((1-b.tokens)/l.rate, maxWait)
	turn := min(max(token, b.next.Sub(now)), maxQueue)
	b.next = now.Add(turn + max(minSpacing, seconds(1/l.rate, maxQueue)))
	return max(token, turn)
}

// seconds returns s seconds, or limit if that is less. A quotient by zero counts as
// infinite.
func seconds(s float64, limit time.Duration) time.Duration {
	if s >= 0 && s < limit.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return limit
}
