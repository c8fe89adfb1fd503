package load

import (
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Class is a kind of request that a customer makes.
type Class struct {
	Service       string
	Method        string
	Path          string
	Weight        float64 // share of the customer's requests, relative to its other classes
	Importance    importance.Level
	NonRepeatable bool          // the request is not repeatable and carries an idempotency key
	Deadline      time.Duration // time limit of one send
	Crash         bool          // the request crashes each server that runs it
}

// Customer is a source of requests.
type Customer struct {
	Name       string
	Rate       float64 // requests a second on average
	MaxRetries int     // how often a failed request is sent again at most
	Classes    []Class
}

// PickClass returns the class for a random number in [0, 1).
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
