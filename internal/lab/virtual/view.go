package virtual

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/stream"
)

// Versions returns the different versions of the declarations that are in
// force at the nodes.
func (w *World) Versions() map[stream.Position]int {
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
func (w *World) Rate(customer string) float64 {
	least := math.Inf(1)
	for _, h := range w.hosts {
		if h.up {
			least = min(least, h.node.Status(w.Now()).Rate(customer))
		}
	}
	return least
}

// Runs returns how many runs started at the backend server of a host since a
// point in time.
func (w *World) Runs(host int, since time.Time) int {
	n := 0
	for _, at := range w.hosts[host].server.started {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// Crashes returns how often backend servers were crashed by a request.
func (w *World) Crashes() int { return w.crashes }

// PublishRate publishes the contract of a customer with another rate. It
// returns a *CustomerError if the deployment has no such customer.
func (w *World) PublishRate(customer string, rate float64) error {
	for _, c := range w.deployment.Contracts() {
		if c.Customer() == customer {
			document := c.Document()
			document.Rate = rate
			w.Publish(contract.FromDocument(document))
			return nil
		}
	}
	return &CustomerError{customer: customer}
}

// CustomerError reports a customer that the deployment does not have.
type CustomerError struct{ customer string }

// Error names the customer.
func (e *CustomerError) Error() string { return "no customer " + e.customer }
