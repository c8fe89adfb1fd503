package optimum

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Solution is the best choice of what to serve.
type Solution struct {
	scenario   *Scenario
	loadFactor float64
	served     []float64            // per second, by class
	use        []map[string]float64 // slot seconds of each service for one request, by class
}

// SolveError reports a scenario whose optimum could not be found.
type SolveError struct{ cause error }

// Error states the cause.
func (e *SolveError) Error() string { return fmt.Sprintf("optimum: %v", e.cause) }

// Unwrap returns the cause.
func (e *SolveError) Unwrap() error { return e.cause }

// Solve returns the optimum of a scenario whose clients send load times the
// stated rates. It returns a *SolveError if there is none.
func Solve(s *Scenario, loadFactor float64) (*Solution, error) {
	o := &Solution{scenario: s, loadFactor: loadFactor, served: make([]float64, len(s.Classes))}
	classes := make(map[string]*Class)
	for i := range s.Classes {
		classes[s.Classes[i].Name] = &s.Classes[i]
	}
	var asked []int
	for i := range s.Classes {
		use := make(map[string]float64)
		add(classes, &s.Classes[i], 1, use)
		o.use = append(o.use, use)
		if s.Classes[i].Rate > 0 {
			asked = append(asked, i)
		}
	}
	// The linear program has a variable for each class, and one for what is
	// left of each bound: the slots of each service, and the rate of each class.
	bounds := len(s.Services) + len(asked)
	cost := make([]float64, len(asked)+bounds)
	rows := mat.NewDense(bounds, len(cost), nil)
	limit := make([]float64, bounds)
	for row := range bounds {
		rows.Set(row, len(asked)+row, 1)
	}
	for row := range s.Services {
		limit[row] = s.Services[row].capacity()
	}
	for column, i := range asked {
		cost[column] = -s.Classes[i].Worth
		for row := range s.Services {
			v := &s.Services[row]
			rows.Set(row, column, o.use[i][v.Name]/v.speed())
		}
		row := len(s.Services) + column
		rows.Set(row, column, 1)
		limit[row] = loadFactor * s.Classes[i].Rate
	}
	_, best, err := lp.Simplex(cost, rows, limit, 0, nil)
	if err != nil {
		return nil, &SolveError{cause: err}
	}
	for column, i := range asked {
		o.served[i] = best[column]
	}
	return o, nil
}

// add adds the slot seconds that a class takes of each service, times over.
func add(classes map[string]*Class, c *Class, times float64, use map[string]float64) {
	use[c.Service] += times * c.Work / millisecondsPerSecond
	for _, call := range c.Calls {
		add(classes, classes[call.Class], times*call.PerRun, use)
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

// Worth returns the worth per second, as a part of what clients ask for.
func (o *Solution) Worth() float64 {
	asked, earned := 0.0, 0.0
	for i, c := range o.scenario.Classes {
		asked += c.Worth * c.Rate * o.loadFactor
		earned += c.Worth * o.served[i]
	}
	if asked == 0 {
		return 1
	}
	return earned / asked
}

// ServedRate returns how many requests of a class are served per second.
func (o *Solution) ServedRate(class string) float64 {
	for i, c := range o.scenario.Classes {
		if c.Name == class {
			return o.served[i]
		}
	}
	return 0
}

// Utilization returns the part of the slots of a service that is taken.
func (o *Solution) Utilization(service string) float64 {
	for _, s := range o.scenario.Services {
		if s.Name != service {
			continue
		}
		taken := 0.0
		for i := range o.scenario.Classes {
			taken += o.served[i] * o.use[i][service] / s.speed()
		}
		return taken / s.capacity()
	}
	return 0
}

// WriteTable writes what is served and what is taken.
func (o *Solution) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "class\tasked/s\tserved/s\tpart\t\n") //nolint:errcheck // Flush reports it
	for i, c := range o.scenario.Classes {
		if asked := c.Rate * o.loadFactor; asked > 0 {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.2f\t\n", c.Name, asked, o.served[i], o.served[i]/asked) //nolint:errcheck // Flush reports it
		}
	}
	for _, s := range o.scenario.Services {
		fmt.Fprintf(t, "%s\t\t\t%.2f\t\n", s.Name, o.Utilization(s.Name)) //nolint:errcheck // Flush reports it
	}
	fmt.Fprintf(t, "worth\t\t\t%.3f\t\n", o.Worth()) //nolint:errcheck // Flush reports it
	return t.Flush()
}
