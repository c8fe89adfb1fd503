package acceptor

import (
	"time"

	"github.com/papayapath/papayapath/pkg/quarantine"
)

// casualtyWindow is how long before Withdraw a broken run counts as ended by
// the same crash. The connections of all runs break at once, but the end of
// the backend server may be noticed only by a missing heartbeat.
const casualtyWindow = 2 * time.Second

// casualties are the requests whose runs broke off of late.
type casualties struct {
	requests []quarantine.Request
	last     time.Time
}

func (c *casualties) add(now time.Time, r quarantine.Request) {
	if now.Sub(c.last) > casualtyWindow {
		c.requests = c.requests[:0]
	}
	c.last = now
	c.requests = append(c.requests, r)
}

// take returns the requests that a crash at now ended, and forgets them.
func (c *casualties) take(now time.Time) []quarantine.Request {
	requests := c.requests
	c.requests = c.requests[:0]
	if now.Sub(c.last) > casualtyWindow {
		return nil
	}
	return requests
}
