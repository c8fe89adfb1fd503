package optimum

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Solution is an optimal allocation of slots to request classes.
type Solution struct {
	scenario    *Scenario
	loadFactor  float64
	shedding    Shedding
	servedRates []float64            // requests per second, by class
	demand      []map[string]float64 // slot seconds per request at each service, by class
}

// SolveError reports that the linear program of a scenario has no solution.
type SolveError struct{ cause error }

// Error returns the cause.
func (e *SolveError) Error() string { return fmt.Sprintf("optimum: %v", e.cause) }

// Unwrap returns the cause.
func (e *SolveError) Unwrap() error { return e.cause }

// Shedding is a service whose servers shed a part of what they receive, whatever their
// load, so that a call has to be sent again.
type Shedding struct {
	Service  string
	Fraction float64 // part of the attempts that is shed
	Retries  float64 // attempts beyond the first of each call, per second
}

// Option changes a default of Solve.
type Option func(*Solution)

// WithShedding lets the servers of a service shed. A request is either carried, with as
// many retries as its calls need on average, or begun without any, and served if none of
// its calls is shed.
func WithShedding(s Shedding) Option { return func(o *Solution) { o.shedding = s } }

// column is a variable of the linear program: requests of a class that are served.
type column struct {
	class   int
	retries float64 // that one request needs
	part    float64 // of the requests that is served
}

// Solve returns the optimum of a scenario whose arrival rates are multiplied by
// loadFactor. The error is a *SolveError.
func Solve(s *Scenario, loadFactor float64, options ...Option) (*Solution, error) {
	o := &Solution{scenario: s, loadFactor: loadFactor, servedRates: make([]float64, len(s.Classes))}
	classes := make(map[string]*Class)
	for i := range s.Classes {
		classes[s.Classes[i].Name] = &s.Classes[i]
	}
	for _, option := range options {
		option(o)
	}
	var offered []int
	var columns []column
	for i := range s.Classes {
		demand := make(map[string]float64)
		accumulateDemand(classes, &s.Classes[i], 1, demand)
		o.demand = append(o.demand, demand)
		if s.Classes[i].Rate > 0 {
			offered = append(offered, i)
			columns = append(columns, o.columns(classes, i)...)
		}
	}
	// The linear program has one or two variables for each class that clients request,
	// and a slack variable for each constraint: the slots of each service, the arrival
	// rate of each such class, and the retries if there are any.
	constraintCount := len(s.Services) + len(offered)
	if o.shedding.Fraction > 0 {
		constraintCount++
	}
	cost := make([]float64, len(columns)+constraintCount)
	constraints := mat.NewDense(constraintCount, len(cost), nil)
	limit := make([]float64, constraintCount)
	for row := range constraintCount {
		constraints.Set(row, len(columns)+row, 1)
	}
	for row := range s.Services {
		limit[row] = s.Services[row].capacity()
	}
	for col, c := range columns {
		cost[col] = -s.Classes[c.class].Worth * c.part
		for row := range s.Services {
			v := &s.Services[row]
			// Requests that fail take slots too. Without them the limit is not too low.
			constraints.Set(row, col, c.part*o.demand[c.class][v.Name]/v.speed())
		}
		row := len(s.Services) + slices.Index(offered, c.class)
		constraints.Set(row, col, 1)
		limit[row] = loadFactor * s.Classes[c.class].Rate
		if o.shedding.Fraction > 0 {
			constraints.Set(constraintCount-1, col, c.retries)
			limit[constraintCount-1] = o.shedding.Retries
		}
	}
	_, rates, err := lp.Simplex(cost, constraints, limit, 0, nil)
	if err != nil {
		return nil, &SolveError{cause: err}
	}
	for col, c := range columns {
		o.servedRates[c.class] += c.part * rates[col]
	}
	return o, nil
}

// columns returns the ways to serve requests of a class.
func (o *Solution) columns(classes map[string]*Class, class int) []column {
	carried := column{class: class, part: 1}
	calls := countCalls(classes, &o.scenario.Classes[class], o.shedding.Service)
	if calls == 0 || o.shedding.Fraction == 0 {
		return []column{carried}
	}
	carried.retries = calls * o.shedding.Fraction / (1 - o.shedding.Fraction)
	return []column{carried, {class: class, part: math.Pow(1-o.shedding.Fraction, calls)}}
}

// countCalls returns the number of calls to a service that a request of a class needs,
// itself included.
func countCalls(classes map[string]*Class, c *Class, service string) float64 {
	calls := 0.0
	if c.Service == service {
		calls = 1
	}
	for _, call := range c.Calls {
		calls += call.PerRun * countCalls(classes, classes[call.Class], service)
	}
	return calls
}

// accumulateDemand adds to demand the slot seconds that a number of runs of a class
// need at each service, nested calls included.
func accumulateDemand(classes map[string]*Class, c *Class, runs float64, demand map[string]float64) {
	demand[c.Service] += runs * c.Work / millisecondsPerSecond
	for _, call := range c.Calls {
		accumulateDemand(classes, classes[call.Class], runs*call.PerRun, demand)
	}
}

const millisecondsPerSecond = 1000

func (s *Service) capacity() float64 { return float64(s.Servers * s.Slots) }

func (s *Service) speed() float64 {
	if s.Speed == 0 {
		return 1
	}
	return s.Speed
}

// Worth returns the worth per second, as a fraction of the offered worth.
func (o *Solution) Worth() float64 {
	offered, earned := 0.0, 0.0
	for i, c := range o.scenario.Classes {
		offered += c.Worth * c.Rate * o.loadFactor
		earned += c.Worth * o.servedRates[i]
	}
	if offered == 0 {
		return 1
	}
	return earned / offered
}

// ServedRate returns the served requests of a class per second.
func (o *Solution) ServedRate(class string) float64 {
	for i, c := range o.scenario.Classes {
		if c.Name == class {
			return o.servedRates[i]
		}
	}
	return 0
}

// CallRate returns the requests and calls that a service serves per second.
func (o *Solution) CallRate(service string) float64 {
	classes := make(map[string]*Class)
	for i := range o.scenario.Classes {
		classes[o.scenario.Classes[i].Name] = &o.scenario.Classes[i]
	}
	rate := 0.0
	for i := range o.scenario.Classes {
		rate += o.servedRates[i] * countCalls(classes, &o.scenario.Classes[i], service)
	}
	return rate
}

// Utilization returns the fraction of the slots of a service that are in use.
func (o *Solution) Utilization(service string) float64 {
	for _, s := range o.scenario.Services {
		if s.Name != service {
			continue
		}
		busy := 0.0
		for i := range o.scenario.Classes {
			busy += o.servedRates[i] * o.demand[i][service] / s.speed()
		}
		return busy / s.capacity()
	}
	return 0
}

// WriteTable writes the served rate of each class and the utilization of each service.
func (o *Solution) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "class\tasked/s\tserved/s\tpart\t\n") //nolint:errcheck // Flush reports it
	for i, c := range o.scenario.Classes {
		if offered := c.Rate * o.loadFactor; offered > 0 {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.2f\t\n", c.Name, offered, o.servedRates[i], o.servedRates[i]/offered) //nolint:errcheck // Flush reports it
		}
	}
	for _, s := range o.scenario.Services {
		fmt.Fprintf(t, "%s\t\t\t%.2f\t\n", s.Name, o.Utilization(s.Name)) //nolint:errcheck // Flush reports it
	}
	fmt.Fprintf(t, "worth\t\t\t%.3f\t\n", o.Worth()) //nolint:errcheck // Flush reports it
	return t.Flush()
}
