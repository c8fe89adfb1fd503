package contract

import (
	"strings"
	"time"

	"github.com/papayapath/papayapath/pkg/importance"
)

// Contract is the agreement with one customer: its rate, its bound on retries
// and the calls that it may make. A Contract does not change after New.
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

// WithRate sets the requests a second that the customer may make on average,
// and how many it may make at once.
func WithRate(rate float64, burst int) Option {
	return func(c *Contract) { c.rate, c.burst = rate, burst }
}

// WithRetries bounds the retries of one request over its whole call chain.
func WithRetries(n int) Option { return func(c *Contract) { c.retries = n } }

// WithKeyWindow sets how long an idempotency key may be used after its issue.
func WithKeyWindow(d time.Duration) Option { return func(c *Contract) { c.window = d } }

// WithClass adds a class of calls. Classes are matched in the order in which
// they were added.
func WithClass(class Class) Option {
	return func(c *Contract) { c.classes = append(c.classes, class) }
}

// Customer returns the name of the customer.
func (c *Contract) Customer() string { return c.customer }

// Rate returns the contracted requests a second.
func (c *Contract) Rate() float64 { return c.rate }

// Burst returns how many requests the customer may make at once.
func (c *Contract) Burst() int { return c.burst }

// Retries returns the bound on retries of one request over its call chain.
func (c *Contract) Retries() int { return c.retries }

// KeyWindow returns how long an idempotency key may be used after its issue.
func (c *Contract) KeyWindow() time.Duration { return c.window }

// Classes returns the number of classes of calls.
func (c *Contract) Classes() int { return len(c.classes) }

// ClassAt returns the class with index i.
func (c *Contract) ClassAt(i int) Class { return c.classes[i] }

// Class returns the first class that matches a call, or false if the
// contract has no such call.
func (c *Contract) Class(service, method, path string) (Class, bool) {
	for _, class := range c.classes {
		if class.matches(service, method, path) {
			return class, true
		}
	}
	return Class{}, false
}

// Class is a kind of call that a contract allows.
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

// WithName returns c under a name, which operators use to speak of it.
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

// Prefix returns the start of the paths that the class covers.
func (c Class) Prefix() string { return c.prefix }

// Importance returns the importance of the calls.
func (c Class) Importance() importance.Level { return c.importance }

// Repeatable reports whether a call may run more than once.
func (c Class) Repeatable() bool { return c.repeatable }

// Deadline returns the time within which the customer needs the answer.
func (c Class) Deadline() time.Duration { return c.deadline }

func (c Class) matches(service, method, path string) bool {
	return c.service == service &&
		(c.method == "" || c.method == method) &&
		strings.HasPrefix(path, c.prefix)
}
