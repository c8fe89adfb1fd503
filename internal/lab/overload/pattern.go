package overload

import (
	"fmt"

	"github.com/papayapath/papayapath/internal/lab/optimum"
)

// Pattern says what makes a load hard. The zero value is a calm one.
type Pattern struct {
	// Load is the rate of new requests in parts of the stated one; 0 counts as 1.
	Load float64
	// Retries is how often a client sends a request again after a refusal or a
	// failure; 0 counts as once.
	Retries int
	// ImmediateRetries clients come back after 50 ms, whatever they were told.
	ImmediateRetries bool
	// SlowService is the service one of whose servers takes SlowBy times as long.
	SlowService string
	SlowFactor  float64
	// SheddingService is the service one of whose servers sheds a part of what it gets.
	SheddingService string
	ShedFraction    float64
}

// PatternError reports a pattern that does not fit a scenario.
type PatternError struct {
	field  string
	reason string
}

// Error names the field.
func (e *PatternError) Error() string { return fmt.Sprintf("pattern: %s %s", e.field, e.reason) }

// check returns a *PatternError for a value out of its range or a service that
// the scenario does not have.
func (p Pattern) check(s *optimum.Scenario) error {
	known := map[string]bool{"": true}
	for _, v := range s.Services {
		known[v.Name] = true
	}
	switch {
	case p.Load < 0:
		return &PatternError{field: "load", reason: "is below zero"}
	case p.Retries < 0:
		return &PatternError{field: "returns", reason: "is below zero"}
	case !known[p.SlowService]:
		return &PatternError{field: "slow", reason: "names the unknown service " + p.SlowService}
	case !known[p.SheddingService]:
		return &PatternError{field: "grey", reason: "names the unknown service " + p.SheddingService}
	case p.SlowService != "" && p.SlowFactor < 1:
		return &PatternError{field: "slow-by", reason: "is below 1"}
	case p.ShedFraction < 0 || p.ShedFraction >= 1:
		return &PatternError{field: "shed", reason: "is not between 0 and 1"}
	}
	return nil
}

// load returns the rate of new requests in parts of the stated one.
func (p Pattern) load() float64 {
	if p.Load == 0 {
		return 1
	}
	return p.Load
}

// Limit returns the greatest worth that the slots and the retry budget of a
// scenario allow under the pattern, as a part of what is asked for. A slow
// server has only a part of its speed. It returns a *PatternError or an
// *optimum.SolveError.
func (p Pattern) Limit(s *optimum.Scenario) (float64, error) {
	if err := p.check(s); err != nil {
		return 0, err
	}
	bound := *s
	bound.Services = append([]optimum.Service(nil), s.Services...)
	for i := range bound.Services {
		v := &bound.Services[i]
		if v.Speed == 0 {
			v.Speed = 1
		}
		if v.Name == p.SlowService {
			v.Speed *= (float64(v.Servers-1) + 1/p.SlowFactor) / float64(v.Servers)
		}
		if v.Name == p.SheddingService && p.ShedFraction > 0 {
			v.Speed *= capacity(v.Servers, p.ShedFraction)
		}
	}
	o, err := optimum.Solve(&bound, p.load())
	if err != nil {
		return 0, err
	}
	return o.Worth(), nil
}

// capacity returns the part of the capacity of n servers that is left when one
// of them sheds a part of its requests. What it sheds costs no time but a retry,
// so it serves (1-shed)/shed requests for each retry that the budget allows.
func capacity(servers int, shed float64) float64 {
	n := float64(servers)
	left := 1 - budgetRatio*(1-shed)/shed
	if left <= 0 {
		return 1
	}
	return min(1, (n-1)/n/left)
}
