package dispatcher

import (
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node/shares/quota"
)

// Demands appends the reports of demand that are due. Each goes to the nodes
// that divide the rate of its customer; their answers go to Share. It is to
// be called several times a second.
func (d *Dispatcher) Demands(now time.Time, out []message.Demand) []message.Demand {
	for customer, q := range d.quotas {
		if q.Idle(now) {
			delete(d.quotas, customer)
			continue
		}
		if m, due := q.Report(now); due {
			out = append(out, m)
		}
	}
	return out
}

// Share takes over the share of a customer's rate that an allocator sent.
func (d *Dispatcher) Share(now time.Time, from instance.ID, m message.Share) {
	if q, ok := d.quotas[m.Customer]; ok {
		q.Share(now, from, m)
	}
}

// quota returns the quota of a customer under the contract in force.
func (d *Dispatcher) quota(now time.Time, terms *contract.Contract) *quota.Quota {
	q, ok := d.quotas[terms.Customer()]
	if !ok {
		q = quota.New(now, terms.Customer(), terms.Rate(), terms.Burst())
		d.quotas[terms.Customer()] = q
		return q
	}
	q.Change(now, terms.Rate(), terms.Burst())
	return q
}
