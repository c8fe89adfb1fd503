package quota

import (
	"math"
	"time"
)

// meterTime is the time constant of a meter. It holds enough requests for a good
// estimate at the rates at which tokens are prefetched.
const meterTime = time.Second

// meter measures a rate, with exponentially decaying weights.
type meter struct {
	rate    float64 // events a second
	updated time.Time
}

// count records n events.
func (m *meter) count(now time.Time, n int) {
	m.rate = m.at(now) + float64(n)/meterTime.Seconds()
	if now.After(m.updated) {
		m.updated = now
	}
}

// at returns the rate at the given time.
func (m *meter) at(now time.Time) float64 {
	age := max(0, now.Sub(m.updated))
	return m.rate * math.Exp(-age.Seconds()/meterTime.Seconds())
}
