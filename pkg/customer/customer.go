package customer

import "github.com/papayapath/papayapath/pkg/importance"

// Customer is a customer of one configuration version.
type Customer struct {
	name  string
	level importance.Level
	rate  float64
	burst float64
}

// Option sets a property of a Customer.
type Option func(*Customer)

// WithLevel sets the importance of the customer. It precedes that of the routes: among
// requests of customers of the same importance, that of the route decides.
func WithLevel(l importance.Level) Option {
	return func(c *Customer) { c.level = l }
}

// WithLimit sets the requests a second that the customer may send, summed over all
// nodes, and how many more at once. A rate of 0 means that there is no limit.
func WithLimit(rate, burst float64) Option {
	return func(c *Customer) { c.rate, c.burst = rate, burst }
}

// DefaultLevel is the importance of a customer for which none is configured, and that of
// requests without a customer. Others can be above and below it.
const DefaultLevel = importance.High

// New returns a customer without a limit.
func New(name string, options ...Option) *Customer {
	c := &Customer{name: name, level: DefaultLevel}
	for _, o := range options {
		o(c)
	}
	return c
}

// Name returns the name of the customer.
func (c *Customer) Name() string { return c.name }

// Level returns the importance of the customer.
func (c *Customer) Level() importance.Level { return c.level }

// Rate returns the requests a second that the customer may send, or 0 if there is no
// limit.
func (c *Customer) Rate() float64 { return c.rate }

// Burst returns how many requests the customer may send at once beyond its rate.
func (c *Customer) Burst() float64 { return c.burst }

// IsLimited reports whether the customer has a limit.
func (c *Customer) IsLimited() bool { return c.rate > 0 }
