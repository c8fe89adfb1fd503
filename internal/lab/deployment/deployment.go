package deployment

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/load"
	"github.com/papayapath/papayapath/internal/lab/server"
	"github.com/papayapath/papayapath/pkg/contract"
)

const (
	// runTimeSpread is the spread of run times as a fraction of their mean.
	runTimeSpread = 0.2
	// coldPeriod and coldFactor describe the cold start of a server.
	coldPeriod = 500 * time.Millisecond
	coldFactor = 3
)

// Service is one service of a deployment.
type Service struct {
	Name        string
	Servers     int
	Slots       int // requests that one server runs at once
	Connections int // requests that wait at one server
	Run         time.Duration
	Paths       []server.Path
}

// Deployment is a set of services and their customers.
type Deployment struct {
	name       string
	services   []Service
	customers  []load.Customer
	bottleneck string
}

// All returns every deployment.
func All() []*Deployment { return []*Deployment{Regie(), Nilegear()} }

// ByName returns the deployment with a name, or a *NameError.
func ByName(name string) (*Deployment, error) {
	for _, d := range All() {
		if d.name == name {
			return d, nil
		}
	}
	return nil, &NameError{name: name}
}

// Name returns the name of the deployment.
func (d *Deployment) Name() string { return d.name }

// Services returns the services, those at the front of the call chains first.
func (d *Deployment) Services() []Service { return d.services }

// Customers returns the customers with their load.
func (d *Deployment) Customers() []load.Customer { return d.customers }

// Bottleneck returns the name of the deep service that the disturbance slows.
func (d *Deployment) Bottleneck() string { return d.bottleneck }

// Placements returns the service of each server. Each server has a node of
// its own.
func (d *Deployment) Placements() []Service {
	var all []Service
	for _, s := range d.services {
		for range s.Servers {
			all = append(all, s)
		}
	}
	return all
}

// Rate returns the requests a second of all customers.
func (d *Deployment) Rate() float64 {
	sum := 0.0
	for _, c := range d.customers {
		sum += c.Rate
	}
	return sum
}

// Limit returns how many requests a second the bottleneck can run while its
// runs take factor times as long: slots of all its servers divided by the
// mean run time, rounded down. Every customer request needs it once.
func (d *Deployment) Limit(factor float64) int {
	for _, s := range d.services {
		if s.Name == d.bottleneck {
			return int(float64(s.Servers*s.Slots) / (s.Run.Seconds() * factor))
		}
	}
	return 0
}

// Server returns the server with an index of Placements, behind the node
// whose HTTP for its backend server is at address.
func (d *Deployment) Server(index int, address string, seed uint64, h *history.History) *server.Server {
	s := d.Placements()[index]
	return server.New(
		s.Name,
		server.WithSlots(s.Slots, s.Connections),
		server.WithRunTime(s.Run, runTimeSpread),
		server.WithColdStart(coldPeriod, coldFactor),
		server.WithSeed(xxhash.Sum64String(fmt.Sprintf("%s-%d-%d", d.name, index, seed))),
		server.WithPaths(s.Paths...),
		server.WithNode(address),
		server.WithHistory(h),
	)
}

const (
	// contractRetries is the bound on retries of one request in each contract.
	contractRetries = 3
	// keyWindow is how long an idempotency key may be used.
	keyWindow = 10 * time.Minute
	// rateHeadroom is the contracted rate relative to the normal one. The
	// disturbance triples the demand and each request may be sent five times;
	// with this headroom its refusals come from admission and not from the
	// customers' rates.
	rateHeadroom = 16
)

// Contracts returns one contract for each customer.
func (d *Deployment) Contracts() []*contract.Contract {
	var all []*contract.Contract
	for _, c := range d.customers {
		rate := rateHeadroom * c.Rate
		options := []contract.Option{
			contract.WithRate(rate, int(rate)),
			contract.WithRetries(contractRetries),
			contract.WithKeyWindow(keyWindow),
		}
		for _, class := range c.Classes {
			options = append(options, contract.WithClass(contract.NewClass(
				class.Service, class.Method, class.Path, class.Importance, !class.NonRepeatable, class.Deadline,
			).WithName(strings.Trim(class.Path, "/"))))
		}
		all = append(all, contract.New(c.Name, options...))
	}
	return all
}

// NameError reports a name that stands for no deployment.
type NameError struct{ name string }

// Error names the deployments that there are.
func (e *NameError) Error() string {
	return fmt.Sprintf("deployment %q is none of regie, nilegear", e.name)
}
