package starvation

import (
	"time"

	"github.com/papayapath/papayapath/pkg/ratio"
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
	all   *ratio.Ratio
	kinds map[K]*ratio.Ratio
}

// New returns a detector that has seen no request.
func New[K comparable]() *Detector[K] {
	return &Detector[K]{all: ratio.New(memory), kinds: make(map[K]*ratio.Ratio)}
}

// Record records the end of a request of a kind.
func (d *Detector[K]) Record(now time.Time, kind K, served bool) {
	r := d.kinds[kind]
	if r == nil {
		if len(d.kinds) >= maxKinds {
			clear(d.kinds)
		}
		r = ratio.New(memory)
		d.kinds[kind] = r
	}
	r.Add(now, served)
	d.all.Add(now, served)
}

// Promote records that a request of a kind is given precedence. It counts as served from
// now on, until Fail: otherwise each request of the kind would be given precedence until the
// first of them ends, at all nodes at once.
func (d *Detector[K]) Promote(now time.Time, kind K) { d.Record(now, kind, true) }

// Fail records that a request that was given precedence at a time was not served.
func (d *Detector[K]) Fail(now time.Time, kind K, promoted time.Time) {
	if r := d.kinds[kind]; r != nil {
		r.Revoke(now, promoted)
	}
	d.all.Revoke(now, promoted)
}

// IsStarved reports whether requests of a kind are served much less often than all
// requests.
func (d *Detector[K]) IsStarved(now time.Time, kind K) bool {
	r := d.kinds[kind]
	if r == nil || r.Events(now) < minRequests || d.all.Successes(now) < minRequests {
		return false
	}
	return r.Fraction(now) < minShare*d.all.Fraction(now)
}
