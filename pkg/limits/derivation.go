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

// Derivation holds the limits derived from a set of contracts.
type Derivation struct {
	customers []Customer
	services  []Service
}

// Customer holds the limits of one customer.
type Customer struct {
	Name              string
	Rate              float64 // average requests per second
	Burst             int     // simultaneous requests
	Retries           int     // retries of one request over its whole call tree
	MaxRunsPerService int     // maximum runs of a call at one service caused by one request
	MaxCallRate       float64 // maximum calls per second, including retries, at the services that it calls
}

// Service holds the maximum demand of all contracts on one service.
type Service struct {
	Name             string
	RateByImportance [ImportanceLevels]float64 // requests per second of the customers that have calls of each importance
	TotalRate        float64                   // requests per second of all customers of the service
	Burst            int                       // simultaneous requests of all customers of the service
	Concurrency      float64                   // concurrent requests if each takes its whole deadline
	Deadline         time.Duration             // longest deadline of a call
}

// Derive derives the limits from contracts.
func Derive(contracts []*contract.Contract) *Derivation {
	d := &Derivation{}
	services := make(map[string]*Service)
	for _, c := range contracts {
		d.customers = append(d.customers, customerLimits(c))
		for name, demand := range serviceDemands(c) {
			if services[name] == nil {
				services[name] = &Service{Name: name}
			}
			services[name].add(demand)
		}
	}
	slices.SortFunc(d.customers, func(a, b Customer) int { return strings.Compare(a.Name, b.Name) })
	for _, name := range slices.Sorted(maps.Keys(services)) {
		d.services = append(d.services, *services[name])
	}
	return d
}

// Customers returns the limits of the customers, sorted by name.
func (d *Derivation) Customers() []Customer { return d.customers }

// Services returns the maximum demand on the services, sorted by name.
func (d *Derivation) Services() []Service { return d.services }

// customerLimits returns the limits of one customer. A request causes one call
// at the first service, plus at most its retries.
func customerLimits(c *contract.Contract) Customer {
	runs := 1 + c.Retries()
	return Customer{
		Name: c.Customer(), Rate: c.Rate(), Burst: c.Burst(), Retries: c.Retries(),
		MaxRunsPerService: runs, MaxCallRate: c.Rate() * float64(runs),
	}
}

// serviceDemands returns the maximum demand of a customer on each service. A
// customer may use its whole rate for any of its calls.
func serviceDemands(c *contract.Contract) map[string]Service {
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

func (s *Service) add(demand Service) {
	for i, rate := range demand.RateByImportance {
		s.RateByImportance[i] += rate
	}
	s.TotalRate += demand.TotalRate
	s.Burst += demand.Burst
	s.Concurrency += demand.Concurrency
	s.Deadline = max(s.Deadline, demand.Deadline)
}
