package shedding

const (
	// weight is the weight of one request in the rate. A bottleneck gets some hundred
	// requests a second at least, so the rate follows a change within 0.1 s.
	weight = 1.0 / 32
	// Threshold is the rate from which a server counts as shedding. Any server sheds a
	// request at times.
	Threshold = 0.1
)

// Meter holds the recent rate of the requests that a server has shed, from 0 to 1.
// Its zero value is a server that sheds none. It is not safe for concurrent use.
type Meter struct{ rate float64 }

// Record records whether the server has shed a request.
func (m *Meter) Record(shed bool) {
	v := 0.0
	if shed {
		v = 1
	}
	m.rate += weight * (v - m.rate)
}

// Rate returns the rate, or 0 if it is below Threshold.
func (m *Meter) Rate() float64 {
	if m.rate < Threshold {
		return 0
	}
	return m.rate
}
