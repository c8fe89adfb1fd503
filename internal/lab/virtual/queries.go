package virtual

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/stream"
)

// DeclarationVersions returns the distinct versions of the declarations in force,
// with the number of nodes at each.
func (sim *Simulation) DeclarationVersions() map[stream.Position]int {
	found := make(map[stream.Position]int)
	for _, h := range sim.hosts {
		if h.up {
			found[h.node.Status(sim.Now()).Version()]++
		}
	}
	return found
}

// Rate returns the lowest contracted rate of a customer in force at any node, in
// requests per second. It is 0 if a node has no contract of the customer.
func (sim *Simulation) Rate(customer string) float64 {
	lowest := math.Inf(1)
	for _, h := range sim.hosts {
		if h.up {
			lowest = min(lowest, h.node.Status(sim.Now()).Rate(customer))
		}
	}
	return lowest
}

// RunsSince returns the number of runs that the backend server of a host started
// at or after since.
func (sim *Simulation) RunsSince(host int, since time.Time) int {
	n := 0
	for _, startTime := range sim.hosts[host].server.startTimes {
		if !startTime.Before(since) {
			n++
		}
	}
	return n
}

// Crashes returns the number of backend server crashes caused by requests.
func (sim *Simulation) Crashes() int { return sim.crashes }

// PublishContractRate publishes the contract of a customer with a new rate. It
// returns a *CustomerError if the deployment has no such customer.
func (sim *Simulation) PublishContractRate(customer string, rate float64) error {
	for _, c := range sim.deployment.Contracts() {
		if c.Customer() == customer {
			document := c.Document()
			document.Rate = rate
			sim.PublishContracts(contract.FromDocument(document))
			return nil
		}
	}
	return &CustomerError{customer: customer}
}

// CustomerError reports a customer that is not part of the deployment.
type CustomerError struct{ customer string }

// Error returns the name of the customer.
func (e *CustomerError) Error() string { return "unknown customer " + e.customer }
