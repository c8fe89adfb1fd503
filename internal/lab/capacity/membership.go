package capacity

import (
	"time"

	"github.com/papayapath/papayapath/pkg/membership"
)

const (
	// settleTime exceeds the 5 s for which joins are propagated.
	settleTime = 8 * time.Second
	// measuredPeriod is the virtual time over which messages are counted.
	measuredPeriod = 10 * time.Second
)

// measureMembership measures the traffic and processor time of membership at
// rest, after the failure of one node and after that of a failure domain.
func measureMembership(divisor int) ([]Series, error) {
	sizes := divideSizes(divisor, 64, 128, 256, 512, 1024)
	const by = "members"
	bytes := Series{Name: "membership at rest, sent", Axis: by, Unit: "B/s per node"}
	messages := Series{Name: "membership at rest, sent", Axis: by, Unit: "messages/s per node"}
	cpu := Series{Name: "membership at rest, processor", Axis: by, Unit: "µs/s per node"}
	deathBytes := Series{Name: "one death, sent beyond rest", Axis: by, Unit: "B per node"}
	deathMessages := Series{Name: "one death, sent beyond rest", Axis: by, Unit: "messages per node"}
	deathCPU := Series{Name: "10 s with one death, processor", Axis: by, Unit: "µs/s per node"}
	deathDetection := Series{Name: "one death, known at the last node", Axis: by, Unit: "ms"}
	domainBytes := Series{Name: "a failure domain lost, sent beyond rest", Axis: by, Unit: "B per node left"}
	domainDetection := Series{Name: "a failure domain lost, known at the last node", Axis: by, Unit: "ms"}
	for _, n := range sizes {
		n = max(n, 2*domains) // leaves nodes running after the loss of a failure domain
		net, err := newMembershipNetwork(n)
		if err != nil {
			return nil, err
		}
		if _, err := net.run(settleTime); err != nil {
			return nil, err
		}
		rest, err := net.run(measuredPeriod)
		if err != nil {
			return nil, err
		}
		net.nodes[0].failed = true
		dead, err := net.run(measuredPeriod)
		if err != nil {
			return nil, err
		}
		remaining := net.failDomain(1)
		lost, err := net.run(measuredPeriod)
		if err != nil {
			return nil, err
		}
		nodes, seconds := float64(n), measuredPeriod.Seconds()
		bytes.add(n, float64(rest.bytes)/nodes/seconds)
		messages.add(n, float64(rest.messages)/nodes/seconds)
		cpu.add(n, microseconds(rest.cpu)/nodes/seconds)
		deathBytes.add(n, float64(dead.bytes-rest.bytes)/nodes)
		deathMessages.add(n, float64(dead.messages-rest.messages)/nodes)
		deathCPU.add(n, microseconds(dead.cpu)/nodes/seconds)
		deathDetection.add(n, microseconds(dead.lastDetection)/1000)
		domainBytes.add(n, (float64(lost.bytes)-float64(rest.bytes)/nodes*float64(remaining))/float64(remaining))
		domainDetection.add(n, microseconds(lost.lastDetection)/1000)
	}
	return []Series{
		bytes.withFit(), messages.withFit(), cpu.withFit(),
		deathBytes.withFit(), deathMessages.withFit(), deathCPU.withFit(), deathDetection.withFit(),
		domainBytes.withFit(), domainDetection.withFit(),
	}, nil
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// reportsDeath reports whether changes contain the death of a member.
func reportsDeath(changes []membership.Change) bool {
	for _, c := range changes {
		if c.Kind == membership.Died {
			return true
		}
	}
	return false
}
