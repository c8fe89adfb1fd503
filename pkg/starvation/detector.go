package starvation

import (
	"math"
	"time"
)

const (
	// minShare is the share of the service rate of all requests below which a kind of
	// request is starved. Callers of a kind that is served a quarter as often as all
	// others have no service to rely on; the factor of two keeps a kind off that while the
	// load changes.
	minShare = 0.5
	// memory is the time in which the weight of a request falls to 1/e. It is several
	// times the duration of a request, and short beside the troubles that starve one.
	memory = 3 * time.Second
	// minRequests is the weight of the requests of a kind, and of all that were served,
	// from which they are compared.
	minRequests = 4
	// maxKinds bounds the number of kinds.
	maxKinds = 1024
)

// Detector compares how often each kind of request is served. K identifies a kind.
//
// Strict priority gives all of the room to the more important requests. While there is
// less room than they ask for, requests of less importance are not served at all, however
// little they need. A starved kind should be given precedence until it is not starved any
// more.
//
// A Detector is not safe for concurrent use. Create it with New.
type Detector[K comparable] struct {
	all   rate
	kinds map[K]*rate
}

// rate counts requests, recent ones more than older ones.
type rate struct {
	requests float64
	served   float64
	updated  time.Time
}

// New returns a detector that has seen no request.
func New[K comparable]() *Detector[K] { return &Detector[K]{kinds: make(map[K]*rate)} }

// Record records the end of a request of a kind.
func (d *Detector[K]) Record(now time.Time, kind K, served bool) {
	r := d.kinds[kind]
	if r == nil {
		if len(d.kinds) >= maxKinds {
			clear(d.kinds)
		}
		r = &rate{}
		d.kinds[kind] = r
	}
	r.add(now, served)
	d.all.add(now, served)
}

// IsStarved reports whether requests of a kind are served much less often than all
// requests.
func (d *Detector[K]) IsStarved(now time.Time, kind K) bool {
	r := d.kinds[kind]
	if r == nil {
		return false
	}
	r.decay(now)
	d.all.decay(now)
	if r.requests < minRequests || d.all.served < minRequests {
		return false
	}
	return r.served/r.requests < minShare*d.all.served/d.all.requests
}

func (r *rate) add(now time.Time, served bool) {
	r.decay(now)
	r.requests++
	if served {
		r.served++
	}
}

// decay reduces the weight of the requests so far to that at now.
func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
		r.requests *= factor
		r.served *= factor
		r.updated = now
	}
}
