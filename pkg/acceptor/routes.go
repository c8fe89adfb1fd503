package acceptor

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/pkg/message"
)

const (
	// routeCount is the number of places for run times. Routes that share a
	// place share an estimate.
	routeCount = 256
	// routeGain is the weight of a new run time, one in so many.
	routeGain = 8
	// routeHalfLife halves an estimate that gets no new run times. Without
	// it, an estimate above every deadline would never be corrected.
	routeHalfLife = 200 * time.Millisecond
	// maxHalvings brings any estimate below a microsecond.
	maxHalvings = 40
)

// routes estimates run times by method and first segment of the path, which
// tell short calls from long ones.
type routes struct {
	places [routeCount]route
}

type route struct {
	mean time.Duration
	last time.Time
}

// routeOf returns the place of the run times of o.
func routeOf(o *message.Offer) uint32 {
	segment := o.Path
	if len(segment) > 0 {
		if end := strings.IndexAny(segment[1:], "/?"); end >= 0 {
			segment = segment[:end+1]
		}
	}
	return uint32((xxhash.Sum64String(segment) ^ xxhash.Sum64String(o.Method)) % routeCount)
}

// observe records the time of a whole run.
func (r *routes) observe(now time.Time, place uint32, run time.Duration) {
	p := &r.places[place]
	if p.last.IsZero() {
		p.mean = run
	}
	p.mean += (run - p.mean) / routeGain
	p.last = now
}

// expected returns the run time to count on.
func (r *routes) expected(now time.Time, place uint32) time.Duration {
	p := &r.places[place]
	silence := now.Sub(p.last)
	if silence < routeHalfLife {
		return p.mean
	}
	return p.mean >> min(silence/routeHalfLife, maxHalvings)
}
