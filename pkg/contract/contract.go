package contract

import (
	"strings"
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Contract is the agreement with one customer: its rate limit, its bound on
// retries and the calls that it may make. A Contract is immutable after New.
type Contract struct {
	customer string
	rate     float64
	burst    int
	retries  int
	window   time.Duration
	classes  []Class
}

// Option sets a term of a contract.
type Option func(*Contract)

// New returns the contract of customer with the given terms.
func New(customer string, options ...Option) *Contract {
	c := &Contract{customer: customer}
	for _, o := range options {
		o(c)
	}
	return c
}

// WithRate sets the average rate in requests per second and the burst size.
func WithRate(rate float64, burst int) Option {
	return func(c *Contract) { c.rate, c.burst = rate, burst }
}

// WithRetries sets the maximum number of retries of one request over its whole
// call chain.
func WithRetries(n int) Option { return func(c *Contract) { c.retries = n } }

// WithKeyWindow sets the time for which an idempotency key is valid after its
// issue.
func WithKeyWindow(d time.Duration) Option { return func(c *Contract) { c.window = d } }

// WithClass adds a class of calls. Classes are matched in the order of
// addition.
func WithClass(class Class) Option {
	return func(c *Contract) { c.classes = append(c.classes, class) }
}

// Customer returns the name of the customer.
func (c *Contract) Customer() string { return c.customer }

// Rate returns the contracted rate in requests per second.
func (c *Contract) Rate() float64 { return c.rate }

// Burst returns the burst size in requests.
func (c *Contract) Burst() int { return c.burst }

// Retries returns the maximum number of retries of one request over its call
// chain.
func (c *Contract) Retries() int { return c.retries }

// KeyWindow returns the time for which an idempotency key is valid after its
// issue.
func (c *Contract) KeyWindow() time.Duration { return c.window }

// Classes returns the number of classes of calls.
func (c *Contract) Classes() int { return len(c.classes) }

// ClassAt returns the class with index i.
func (c *Contract) ClassAt(i int) Class { return c.classes[i] }

// Class returns the first class that matches a call, or false if none does.
func (c *Contract) Class(service, method, path string) (Class, bool) {
	for _, class := range c.classes {
		if class.matches(service, method, path) {
			return class, true
		}
	}
	return Class{}, false
}

// Class is a class of calls that a contract allows.
type Class struct {
	name       string
	service    string
	method     string
	prefix     string
	importance importance.Level
	repeatable bool
	deadline   time.Duration
}

// NewClass returns the class of calls of method to paths of service that
// start with prefix. An empty method matches every method.
func NewClass(service, method, prefix string, level importance.Level, repeatable bool, deadline time.Duration) Class {
	return Class{
		service: service, method: method, prefix: prefix,
		importance: level, repeatable: repeatable, deadline: deadline,
	}
}

// WithName returns a copy of c with a name, by which operators refer to it.
func (c Class) WithName(name string) Class {
	c.name = name
	return c
}

// Name returns the name of the class, or an empty string.
func (c Class) Name() string { return c.name }

// Service returns the name of the service that is called.
func (c Class) Service() string { return c.service }

// Method returns the HTTP method, or an empty string for all methods.
func (c Class) Method() string { return c.method }

// Prefix returns the path prefix of the class.
func (c Class) Prefix() string { return c.prefix }

// Importance returns the importance of the calls.
func (c Class) Importance() importance.Level { return c.importance }

// Repeatable reports whether a call may run more than once.
func (c Class) Repeatable() bool { return c.repeatable }

// Deadline returns the time within which the customer needs the response.
func (c Class) Deadline() time.Duration { return c.deadline }

func (c Class) matches(service, method, path string) bool {
	return c.service == service &&
		(c.method == "" || c.method == method) &&
		strings.HasPrefix(path, c.prefix)
}
