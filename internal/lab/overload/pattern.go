package overload

import (
	"fmt"
	"slices"
	"time"

	"github.com/papayapath/papayapath/internal/lab/optimum"
)

// Pattern describes the disturbances of a load. The zero value has none.
type Pattern struct {
	// Load is the rate of new requests relative to that of the scenario; 0 means 1.
	Load float64
	// Retries is the maximum number of retries of a client request after a
	// rejection or failure; 0 means 1.
	Retries int
	// ImmediateRetries makes clients retry after 50 ms instead of the advertised
	// delay.
	ImmediateRetries bool
	// SlowService has one server whose run times are multiplied by SlowFactor.
	SlowService string
	SlowFactor  float64
	// SheddingService has SheddingServers servers that shed the fraction ShedFraction of
	// their requests; 0 means one server. They do so for ShedTime from ShedStart on, the
	// times since the start of the simulation; a ShedTime of 0 means all the time.
	SheddingService string
	SheddingServers int
	ShedFraction    float64
	ShedStart       time.Duration
	ShedTime        time.Duration
	// LimitedService has LimitedServers servers that take ServerRate requests a
	// second each, as they say in their answers.
	LimitedService string
	LimitedServers int
	ServerRate     float64
	// Variation is how requests and servers differ.
	Variation Variation
}

// PatternError reports a pattern that is invalid for a scenario.
type PatternError struct {
	field  string
	reason string
}

// Error returns the field and the reason.
func (e *PatternError) Error() string { return fmt.Sprintf("pattern: %s %s", e.field, e.reason) }

// validate returns a *PatternError if a value is out of range or a service is
// not part of the scenario.
func (p Pattern) validate(s *optimum.Scenario) error {
	known := map[string]bool{"": true}
	for _, v := range s.Services {
		known[v.Name] = true
	}
	switch {
	case p.Load < 0:
		return &PatternError{field: "load", reason: "must not be negative"}
	case p.Retries < 0:
		return &PatternError{field: "returns", reason: "must not be negative"}
	case !known[p.SlowService]:
		return &PatternError{field: "slow", reason: "names the unknown service " + p.SlowService}
	case !known[p.SheddingService]:
		return &PatternError{field: "grey", reason: "names the unknown service " + p.SheddingService}
	case !known[p.LimitedService]:
		return &PatternError{field: "limited", reason: "names the unknown service " + p.LimitedService}
	case p.LimitedService != "" && p.LimitedServers < 1:
		return &PatternError{field: "limited-servers", reason: "must be at least 1"}
	case p.ServerRate < 0:
		return &PatternError{field: "server-rate", reason: "must not be negative"}
	case p.SlowService != "" && p.SlowFactor < 1:
		return &PatternError{field: "slow-by", reason: "must be at least 1"}
	case p.SheddingServers < 0:
		return &PatternError{field: "shedding-servers", reason: "must not be negative"}
	case p.ShedStart < 0 || p.ShedTime < 0:
		return &PatternError{field: "shed-time", reason: "must not be negative"}
	case slices.ContainsFunc(p.Variation.Speeds, func(speed float64) bool { return !(speed > 0) }):
		return &PatternError{field: "speeds", reason: "must be positive"}
	case !known[p.Variation.NoisyService] || !known[p.Variation.ColdService]:
		return &PatternError{field: "variation", reason: "names an unknown service"}
	case p.ShedFraction < 0 || p.ShedFraction >= 1:
		return &PatternError{field: "shed", reason: "must be at least 0 and less than 1"}
	}
	return nil
}

// loadFactor returns the rate of new requests relative to that of the scenario.
func (p Pattern) loadFactor() float64 {
	if p.Load == 0 {
		return 1
	}
	return p.Load
}

// Limit returns the maximum worth that the slots and the retry budget of a
// scenario allow under the pattern, as a fraction of the requested worth. A slow
// server counts with its reduced speed; the limits of servers do not count. The error is a *PatternError or an
// *optimum.SolveError.
func (p Pattern) Limit(s *optimum.Scenario) (float64, error) {
	if err := p.validate(s); err != nil {
		return 0, err
	}
	reduced := *s
	reduced.Services = append([]optimum.Service(nil), s.Services...)
	for i := range reduced.Services {
		v := &reduced.Services[i]
		if v.Speed == 0 {
			v.Speed = 1
		}
		if v.Name == p.SlowService {
			v.Speed *= (float64(v.Servers-1) + 1/p.SlowFactor) / float64(v.Servers)
		}
		if v.Name == p.SheddingService && p.ShedFraction > 0 && p.SheddingServers <= 1 {
			v.Speed *= remainingCapacity(v.Servers, p.ShedFraction)
		}
	}
	var options []optimum.Option
	if p.SheddingServers > 1 {
		shedding, err := p.shedding(s)
		if err != nil {
			return 0, err
		}
		options = append(options, optimum.WithShedding(shedding))
	}
	o, err := optimum.Solve(&reduced, p.loadFactor(), options...)
	if err != nil {
		return 0, err
	}
	return o.Worth(), nil
}

// shedding returns the shedding of a whole service: its retries are those of a window of
// the budget, which may all be spent while the servers shed. The calls that count are
// those of the load before.
func (p Pattern) shedding(s *optimum.Scenario) (optimum.Shedding, error) {
	calm, err := optimum.Solve(s, p.loadFactor())
	if err != nil {
		return optimum.Shedding{}, err
	}
	calls := calm.CallRate(p.SheddingService) * retryBudgetWindow.Seconds()
	duration := retryBudgetWindow
	if p.ShedTime > 0 {
		duration = min(duration, p.ShedTime)
	}
	return optimum.Shedding{
		Service: p.SheddingService, Fraction: p.ShedFraction,
		Retries: (retryBudgetRatio*calls + retryBudgetSlack) / duration.Seconds(),
	}, nil
}

// remainingCapacity returns the fraction of the capacity that a group of servers
// retains when one of them sheds a fraction of its requests. A shed request costs
// no server time but one retry, so that server serves (1-shed)/shed requests for
// each retry that the budget allows.
func remainingCapacity(servers int, shed float64) float64 {
	n := float64(servers)
	retained := 1 - retryBudgetRatio*(1-shed)/shed
	if retained <= 0 {
		return 1
	}
	return min(1, (n-1)/n/retained)
}
