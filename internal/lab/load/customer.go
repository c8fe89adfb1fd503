package load

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Class is a kind of request that a customer sends.
type Class struct {
	Service       string
	Method        string
	Path          string
	Weight        float64 // share of the customer's requests, relative to its other classes
	Importance    importance.Level
	NonRepeatable bool          // the request must run at most once and carries an idempotency key
	Deadline      time.Duration // time limit of one attempt
	Crash         bool          // the request crashes every server that runs it
}

// Customer is a source of requests.
type Customer struct {
	Name       string
	Rate       float64 // mean requests per second
	MaxRetries int     // maximum retries of a failed request
	Classes    []Class
}

// PickClass returns the class for a random number in [0, 1), according to the
// weights.
func (c Customer) PickClass(random float64) Class {
	total := 0.0
	for _, class := range c.Classes {
		total += class.Weight
	}
	rest := random * total
	for _, class := range c.Classes {
		if rest < class.Weight {
			return class
		}
		rest -= class.Weight
	}
	return c.Classes[len(c.Classes)-1]
}
