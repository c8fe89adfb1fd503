package optimum

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Solution is an optimal allocation of slots to request classes.
type Solution struct {
	scenario    *Scenario
	loadFactor  float64
	servedRates []float64            // requests per second, by class
	demand      []map[string]float64 // slot seconds per request at each service, by class
}

// SolveError reports that the linear program of a scenario has no solution.
type SolveError struct{ cause error }

// Error returns the cause.
func (e *SolveError) Error() string { return fmt.Sprintf("optimum: %v", e.cause) }

// Unwrap returns the cause.
func (e *SolveError) Unwrap() error { return e.cause }

// Solve returns the optimum of a scenario whose arrival rates are multiplied by
// loadFactor. The error is a *SolveError.
func Solve(s *Scenario, loadFactor float64) (*Solution, error) {
	o := &Solution{scenario: s, loadFactor: loadFactor, servedRates: make([]float64, len(s.Classes))}
	classes := make(map[string]*Class)
	for i := range s.Classes {
		classes[s.Classes[i].Name] = &s.Classes[i]
	}
	var offered []int
	for i := range s.Classes {
		demand := make(map[string]float64)
		accumulateDemand(classes, &s.Classes[i], 1, demand)
		o.demand = append(o.demand, demand)
		if s.Classes[i].Rate > 0 {
			offered = append(offered, i)
		}
	}
	// The linear program has a variable for each class that clients request, and
	// a slack variable for each constraint: the slots of each service and the
	// arrival rate of each such class.
	constraintCount := len(s.Services) + len(offered)
	cost := make([]float64, len(offered)+constraintCount)
	constraints := mat.NewDense(constraintCount, len(cost), nil)
	limit := make([]float64, constraintCount)
	for row := range constraintCount {
		constraints.Set(row, len(offered)+row, 1)
	}
	for row := range s.Services {
		limit[row] = s.Services[row].capacity()
	}
	for col, i := range offered {
		cost[col] = -s.Classes[i].Worth
		for row := range s.Services {
			v := &s.Services[row]
			constraints.Set(row, col, o.demand[i][v.Name]/v.speed())
		}
		row := len(s.Services) + col
		constraints.Set(row, col, 1)
		limit[row] = loadFactor * s.Classes[i].Rate
	}
	_, rates, err := lp.Simplex(cost, constraints, limit, 0, nil)
	if err != nil {
		return nil, &SolveError{cause: err}
	}
	for col, i := range offered {
		o.servedRates[i] = rates[col]
	}
	return o, nil
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
