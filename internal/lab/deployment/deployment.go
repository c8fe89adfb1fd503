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
	// runTimeSpread is the spread of run times as a fraction of the mean.
	runTimeSpread = 0.2
	// coldPeriod is how long the cold start of a server lasts, and coldFactor the
	// factor by which its runs are slower at the beginning.
	coldPeriod = 500 * time.Millisecond
	coldFactor = 3
)

// Service is one service of a deployment.
type Service struct {
	Name        string
	Servers     int
	Slots       int // concurrent requests per server
	Connections int // further requests that wait for a slot, per server
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

// ByName returns the deployment with the given name, or a *NameError.
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

// Services returns the services, ordered from the entry to the end of the call
// chains.
func (d *Deployment) Services() []Service { return d.services }

// Customers returns the customers with their request rates and classes.
func (d *Deployment) Customers() []load.Customer { return d.customers }

// Bottleneck returns the name of the last service of the call chains, which
// the disturbance slows down.
func (d *Deployment) Bottleneck() string { return d.bottleneck }

// Placements returns the service of each server. Every server has its own
// node.
func (d *Deployment) Placements() []Service {
	var all []Service
	for _, s := range d.services {
		for range s.Servers {
			all = append(all, s)
		}
	}
	return all
}

// Rate returns the total request rate of all customers per second.
func (d *Deployment) Rate() float64 {
	sum := 0.0
	for _, c := range d.customers {
		sum += c.Rate
	}
	return sum
}

// Limit returns the capacity of the bottleneck in requests per second while
// its run times are multiplied by factor: the slots of all its servers divided
// by the mean run time, rounded down. Every customer request calls the
// bottleneck once.
func (d *Deployment) Limit(factor float64) int {
	for _, s := range d.services {
		if s.Name == d.bottleneck {
			return int(float64(s.Servers*s.Slots) / (s.Run.Seconds() * factor))
		}
	}
	return 0
}

// Server returns the server for the placement with the given index. address is
// the HTTP port of its node for the backend server.
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
	// contractRetries is the maximum number of retries per request in each
	// contract.
	contractRetries = 3
	// keyWindow is how long an idempotency key is valid.
	keyWindow = 10 * time.Minute
	// rateHeadroom is the ratio of the contracted rate to the normal rate. The
	// disturbance triples the demand and each request may be sent five times. With
	// this headroom, refusals come from admission control and not from the
	// customers' rate limits.
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

// NameError reports an unknown deployment name.
type NameError struct{ name string }

// Error returns the unknown name and the known ones.
func (e *NameError) Error() string {
	return fmt.Sprintf("deployment %q is none of regie, nilegear", e.name)
}
