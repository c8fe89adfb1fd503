package limits

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/importance"
)

// ImportanceLevels is the number of importance classes.
const ImportanceLevels = int(importance.Critical) + 1

// Derivation holds the limits that follow from a set of contracts.
type Derivation struct {
	customers []Customer
	services  []Service
}

// Customer holds the limits of one customer.
type Customer struct {
	Name              string
	Rate              float64 // requests a second on average
	Burst             int     // requests at once
	Retries           int     // retries of one request over its whole call chain
	MaxRunsPerService int     // runs of a call at one service that one request causes at worst
	MaxCallRate       float64 // calls a second that its requests and their retries cause at worst at the services it calls
}

// Service holds what the contracts can ask of one service.
type Service struct {
	Name             string
	RateByImportance [ImportanceLevels]float64 // requests a second of the customers with calls of each importance
	TotalRate        float64                   // requests a second of all customers with calls of any importance
	Burst            int                       // requests at once of all customers
	Concurrency      float64                   // requests that run at the same time, if each takes its whole deadline
	Deadline         time.Duration             // longest deadline of a call
}

// Derive returns the limits that follow from contracts.
func Derive(contracts []*contract.Contract) *Derivation {
	d := &Derivation{}
	services := make(map[string]*Service)
	for _, c := range contracts {
		d.customers = append(d.customers, customer(c))
		for name, part := range parts(c) {
			if services[name] == nil {
				services[name] = &Service{Name: name}
			}
			services[name].add(part)
		}
	}
	slices.SortFunc(d.customers, func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
	for _, name := range slices.Sorted(maps.Keys(services)) {
		d.services = append(d.services, *services[name])
	}
	return d
}

// Customers returns the limits of the customers, by name.
func (d *Derivation) Customers() []Customer { return d.customers }

// Services returns what the services must be ready for, by name.
func (d *Derivation) Services() []Service { return d.services }

// customer returns the limits of one customer. A request is one call at the
// service that it enters, plus at most its retries.
func customer(c *contract.Contract) Customer {
	runs := 1 + c.Retries()
	return Customer{
		Name: c.Customer(), Rate: c.Rate(), Burst: c.Burst(), Retries: c.Retries(),
		MaxRunsPerService: runs, MaxCallRate: c.Rate() * float64(runs),
	}
}

// parts returns what a customer can ask of each service. It may spend its
// whole rate on any of its calls.
func parts(c *contract.Contract) map[string]Service {
	services := make(map[string]Service)
	for i := range c.Classes() {
		class := c.ClassAt(i)
		s := services[class.Service()]
		s.RateByImportance[class.Importance()] = c.Rate()
		s.TotalRate, s.Burst = c.Rate(), c.Burst()
		s.Deadline = max(s.Deadline, class.Deadline())
		s.Concurrency = c.Rate() * s.Deadline.Seconds()
		services[class.Service()] = s
	}
	return services
}

func (s *Service) add(part Service) {
	for i, rate := range part.RateByImportance {
		s.RateByImportance[i] += rate
	}
	s.TotalRate += part.TotalRate
	s.Burst += part.Burst
	s.Concurrency += part.Concurrency
	s.Deadline = max(s.Deadline, part.Deadline)
}
