package lease

import (
	"slices"
	"time"

	"github.com/papayapath/papayapath/pkg/instance"
)

const (
	// Duration is how long a renewal lasts from the start of the read or
	// from the sending of the promise request.
	Duration = 2 * time.Second
	// rateDivisor bounds how far the rates of two clocks differ: 1%.
	rateDivisor = 100
)

// Stretch returns d plus the largest difference that the rates of two clocks
// cause over it. A node that waits until another's d is over waits this long.
func Stretch(d time.Duration) time.Duration { return d + d/rateDivisor }

// RelayStart returns the start to use for a read that another node relayed.
// Asked is when the own request to the relay was sent; age is how old the
// relay's read was when that request reached it. An age taken when the relay
// sends its answer is not safe: the time on the way would be left out.
func RelayStart(asked time.Time, age time.Duration) time.Time {
	return asked.Add(-Stretch(max(age, 0)))
}

// Lease is the right to run calls in one epoch. The zero value has no epoch
// and has ended.
type Lease struct {
	epoch  uint64
	others []instance.ID
	starts []time.Time // per other owner: when its last promise was asked for
	end    time.Time
}

// Reset starts an epoch, in which others are the owners but for the holder.
// The lease of the epoch before ends.
func (l *Lease) Reset(epoch uint64, others []instance.ID) {
	l.epoch = epoch
	l.others = others
	l.starts = make([]time.Time, len(others))
	l.end = time.Time{}
}

// End ends the lease and forgets all promises.
func (l *Lease) End() { *l = Lease{} }

// Epoch returns the epoch of the lease, or 0 if it has none.
func (l *Lease) Epoch() uint64 { return l.epoch }

// Until returns the end of the lease, or the zero time if it was never
// renewed in its epoch.
func (l *Lease) Until() time.Time { return l.end }

// Valid reports whether the lease lasts beyond now.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.end) }

// Read renews the lease by a read to the end of the log that began at started
// and showed epoch as the newest.
func (l *Lease) Read(epoch uint64, started time.Time) {
	if epoch == l.epoch {
		l.extend(started)
	}
}

// Promise notes that the owner from has promised not to change the table of
// epoch, on a request sent at asked. The lease is renewed once all other
// owners have promised, from the oldest of their requests.
func (l *Lease) Promise(epoch uint64, from instance.ID, asked time.Time) {
	if epoch != l.epoch {
		return
	}
	i := slices.Index(l.others, from)
	if i < 0 {
		return
	}
	if asked.After(l.starts[i]) {
		l.starts[i] = asked
	}
	l.extend(l.oldest(l.starts[i]))
}

// Alone renews the lease of the only owner, which needs no promise.
func (l *Lease) Alone(now time.Time) {
	if l.epoch != 0 && len(l.others) == 0 {
		l.extend(now)
	}
}

func (l *Lease) oldest(start time.Time) time.Time {
	for _, s := range l.starts {
		if s.Before(start) {
			start = s
		}
	}
	return start
}

func (l *Lease) extend(start time.Time) {
	if start.IsZero() {
		return
	}
	if end := start.Add(Duration); end.After(l.end) {
		l.end = end
	}
}
