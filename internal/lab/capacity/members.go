package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/membership"
)

const (
	// settling outlasts the reports on joins, which are passed on for 5 s.
	settling = 8 * time.Second
	// period of virtual time over which messages are counted.
	period = 10 * time.Second
)

// members measures the traffic and processor time of membership.
func members(scale int) ([]Series, error) {
	sizes := divide(scale, 64, 128, 256, 512, 1024)
	const by = "members"
	bytes := Series{Name: "membership at rest, sent", Axis: by, Unit: "B/s per node"}
	messages := Series{Name: "membership at rest, sent", Axis: by, Unit: "messages/s per node"}
	busy := Series{Name: "membership at rest, processor", Axis: by, Unit: "µs/s per node"}
	death := Series{Name: "one death, sent beyond rest", Axis: by, Unit: "B per node"}
	deathMessages := Series{Name: "one death, sent beyond rest", Axis: by, Unit: "messages per node"}
	deathBusy := Series{Name: "10 s with one death, processor", Axis: by, Unit: "µs/s per node"}
	found := Series{Name: "one death, known at the last node", Axis: by, Unit: "ms"}
	domain := Series{Name: "a failure domain lost, sent beyond rest", Axis: by, Unit: "B per node left"}
	domainFound := Series{Name: "a failure domain lost, known at the last node", Axis: by, Unit: "ms"}
	for _, n := range sizes {
		n = max(n, 2*domains) // some nodes must be left without a failure domain
		w, err := newNetwork(n)
		if err != nil {
			return nil, err
		}
		if _, err := w.run(settling); err != nil {
			return nil, err
		}
		rest, err := w.run(period)
		if err != nil {
			return nil, err
		}
		w.nodes[0].down = true
		dead, err := w.run(period)
		if err != nil {
			return nil, err
		}
		left := w.lose(1)
		lost, err := w.run(period)
		if err != nil {
			return nil, err
		}
		nodes, seconds := float64(n), period.Seconds()
		bytes.add(n, float64(rest.bytes)/nodes/seconds)
		messages.add(n, float64(rest.messages)/nodes/seconds)
		busy.add(n, micros(rest.busy)/nodes/seconds)
		death.add(n, float64(dead.bytes-rest.bytes)/nodes)
		deathMessages.add(n, float64(dead.messages-rest.messages)/nodes)
		deathBusy.add(n, micros(dead.busy)/nodes/seconds)
		found.add(n, micros(dead.last)/1000)
		domain.add(n, (float64(lost.bytes)-float64(rest.bytes)/nodes*float64(left))/float64(left))
		domainFound.add(n, micros(lost.last)/1000)
	}
	return []Series{
		bytes.fitted(), messages.fitted(), busy.fitted(),
		death.fitted(), deathMessages.fitted(), deathBusy.fitted(), found.fitted(),
		domain.fitted(), domainFound.fitted(),
	}, nil
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// died reports whether changes tell of a death.
func died(changes []membership.Change) bool {
	for _, c := range changes {
		if c.Kind == membership.Died {
			return true
		}
	}
	return false
}
