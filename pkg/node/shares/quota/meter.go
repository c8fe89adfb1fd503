package quota

import "time"

const (
	// weight is the part of a new interval in the smoothed demand. It halves
	// the noise of a single interval and follows a step within two.
	weight = 0.5
	// shortest is the shortest time over which a rate is computed.
	shortest = 100 * time.Millisecond
	// settling is the time to the report after one that was not smoothed. By
	// then the other nodes have reported the same change, so the share given
	// first is out of date.
	settling = 200 * time.Millisecond
	// step is the ratio of present to reported demand that counts as a step,
	// which is reported at once and without smoothing.
	step = 2
	// noise is the number of requests below which a step may be chance.
	noise = 10
)

// meter measures the requests a second that arrive.
type meter struct {
	since    time.Time // start of the present interval
	last     time.Time // last request
	requests int       // requests in the present interval
	smoothed float64
	reported bool // a report was made since the node became active
	settled  bool // the last report was smoothed
}

func (m *meter) start(now time.Time) { m.since, m.last = now, now }

func (m *meter) count(now time.Time) {
	if m.requests == 0 && !m.reported {
		m.since = now
	}
	m.requests++
	m.last = now
}

// due reports whether it is time to report. The first report after an idle
// time, or after a step, is due as soon as a rate can be computed.
func (m *meter) due(now time.Time) bool {
	age := now.Sub(m.since)
	if !m.reported {
		return m.requests > 0 && age >= shortest
	}
	if !m.settled && age >= settling {
		return true
	}
	return age >= Interval || (age >= shortest && m.stepped(age))
}

// stepped reports whether far more requests have arrived than were reported.
func (m *meter) stepped(age time.Duration) bool {
	return float64(m.requests) > step*m.smoothed*age.Seconds()+noise
}

// read ends the interval and returns the smoothed demand.
func (m *meter) read(now time.Time) float64 {
	age := now.Sub(m.since)
	measured := float64(m.requests) / age.Seconds()
	m.settled = m.reported && !m.stepped(age)
	if m.settled {
		m.smoothed += weight * (measured - m.smoothed)
	} else {
		m.smoothed = measured
	}
	m.since = now
	m.requests = 0
	m.reported = now.Sub(m.last) < idle
	if !m.reported {
		m.smoothed = 0
	}
	return m.smoothed
}
