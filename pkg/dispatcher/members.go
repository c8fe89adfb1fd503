package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/balancer"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/priority"
)

// Join tells that a server of a service, in a failure domain, takes calls.
func (d *Dispatcher) Join(now time.Time, id instance.ID, service, domain string) {
	b, ok := d.services[service]
	if !ok {
		b = balancer.New(balancer.WithRandom(d.random), balancer.WithDomain(d.domain))
		d.services[service] = b
	}
	if old, ok := d.members[id]; ok && old != b {
		d.Leave(now, id)
	}
	d.members[id] = b
	b.Join(id, domain)
}

// Leave tells that a server is gone. Calls that are open there go on until
// their stream or their deadline ends.
func (d *Dispatcher) Leave(_ time.Time, id instance.ID) {
	if b, ok := d.members[id]; ok {
		b.Leave(id)
		delete(d.members, id)
	}
}

// Drain tells that a server is leaving. It gets no further calls.
func (d *Dispatcher) Drain(_ time.Time, id instance.ID) {
	if b, ok := d.members[id]; ok {
		b.Drain(id)
	}
}

// Suspect tells that the failure detector suspects a server.
func (d *Dispatcher) Suspect(_ time.Time, id instance.ID) {
	if b, ok := d.members[id]; ok {
		b.Suspect(id)
	}
}

// Restore ends the suspicion against a server.
func (d *Dispatcher) Restore(_ time.Time, id instance.ID) {
	if b, ok := d.members[id]; ok {
		b.Restore(id)
	}
}

// Threshold returns the smallest threshold of all servers of a service, and
// the age of the oldest. ok is false if it is not known.
func (d *Dispatcher) Threshold(now time.Time, service string) (floor priority.Priority, age time.Duration, ok bool) {
	b, known := d.services[service]
	if !known {
		return 0, 0, false
	}
	return b.Threshold(now)
}
