package virtual

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/stream"
)

// DeclarationVersions returns the different versions of the declarations that are in
// force at the nodes.
func (w *Simulation) DeclarationVersions() map[stream.Position]int {
	found := make(map[stream.Position]int)
	for _, h := range w.hosts {
		if h.up {
			found[h.node.Status(w.Now()).Version()]++
		}
	}
	return found
}

// Rate returns the smallest rate of a customer that is in force at a node, in
// requests a second. It is 0 if a node has no contract of the customer.
func (w *Simulation) Rate(customer string) float64 {
	least := math.Inf(1)
	for _, h := range w.hosts {
		if h.up {
			least = min(least, h.node.Status(w.Now()).Rate(customer))
		}
	}
	return least
}

// RunsSince returns how many runs started at the backend server of a host since a
// point in time.
func (w *Simulation) RunsSince(host int, since time.Time) int {
	n := 0
	for _, at := range w.hosts[host].server.started {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// Crashes returns how often backend servers were crashed by a request.
func (w *Simulation) Crashes() int { return w.crashes }

// PublishContractRate publishes the contract of a customer with another rate. It
// returns a *CustomerError if the deployment has no such customer.
func (w *Simulation) PublishContractRate(customer string, rate float64) error {
	for _, c := range w.deployment.Contracts() {
		if c.Customer() == customer {
			document := c.Document()
			document.Rate = rate
			w.PublishContracts(contract.FromDocument(document))
			return nil
		}
	}
	return &CustomerError{customer: customer}
}

// CustomerError reports a customer that the deployment does not have.
type CustomerError struct{ customer string }

// Error names the customer.
func (e *CustomerError) Error() string { return "no customer " + e.customer }
