package allocator

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/term"
)

const (
	// maxValidity bounds the validity of tokens. It covers the way of a grant many times.
	// With the platform's window and overrun, it leaves buckets that hold the burst.
	maxValidity = 500 * time.Millisecond
	// minValidity is kept as long as it takes no more than maxValidityFraction of the
	// headroom. It covers the way of a grant beside other load.
	minValidity = 100 * time.Millisecond
	// maxValidityFraction leaves a part of the headroom for the depth of the buckets.
	maxValidityFraction = 0.75
	// maxRate is the highest rate, in requests a second, and the highest burst.
	maxRate = 1e9
)

// Bounds states how many requests of a customer may run in a window of time: (rate x
// Window + burst) x (1 + Overrun) + Slack.
type Bounds struct {
	Window         time.Duration
	Overrun, Slack float64
	// Delay is the longest time from the admission of a request to the moment for which
	// it is counted, less the shortest such time. It is 0 if requests are counted when
	// they are admitted.
	Delay time.Duration
}

// limit is the limit of a customer in one part.
type limit struct {
	rate     float64 // tokens a second
	depth    float64 // of the bucket
	validity time.Duration
}

// newLimit divides the headroom of a customer's bound between the validity of tokens
// and the depth of the buckets. Tokens that are used in a window were granted in it or up
// to the validity before it, so with the depth and the rate summed over the parts they
// number at most depth + rate x (window + delay + validity).
func newLimit(b Bounds, rate, burst float64) limit {
	rate, burst = sanitize(rate), sanitize(burst)
	if rate == 0 {
		return limit{validity: minValidity}
	}
	window := b.Window.Seconds()
	headroom := b.Overrun*(window*rate+burst) + b.Slack + burst - rate*b.Delay.Seconds()
	headroom = max(headroom, 0)
	validity := max(headroom/2, min(minValidity.Seconds()*rate, maxValidityFraction*headroom)) / rate
	validity = min(validity, maxValidity.Seconds())
	l := limit{
		rate:     rate / term.Parts,
		depth:    (headroom - validity*rate) / term.Parts,
		validity: time.Duration(validity * float64(time.Second)),
	}
	if l.depth >= 1 {
		return l
	}
	// A bucket without place for a token grants nothing. A lower rate makes place for one.
	most := ((window*rate+burst)*(1+b.Overrun) + b.Slack) / term.Parts
	if most < 1 {
		return limit{validity: l.validity}
	}
	l.depth = 1
	l.rate = (most - 1) / (window + b.Delay.Seconds() + validity)
	return l
}

// sanitize returns a rate or burst between 0 and maxRate.
func sanitize(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return min(max(v, 0), maxRate)
}

// sane returns bounds without negative and absurd values.
func (b Bounds) sane() Bounds {
	return Bounds{
		Window:  max(b.Window, time.Millisecond),
		Overrun: min(sanitize(b.Overrun), 1),
		Slack:   sanitize(b.Slack),
		Delay:   max(b.Delay, 0),
	}
}
