package keyring

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/papayapath/papayapath/pkg/customer"
)

// digest is the SHA-256 hash of an API key.
type digest [sha256.Size]byte

// Keyring maps the API keys of one configuration version to customers. It holds
// digests, so that the time of a lookup tells nothing about similar keys.
type Keyring struct {
	byKey     map[digest]*customer.Customer
	customers map[string]*customer.Customer
	faults    []error
}

// Option adds customers to a Keyring.
type Option func(*Keyring)

// WithCustomer adds a customer and its keys, of which there may be none.
func WithCustomer(c *customer.Customer, keys ...string) Option {
	return func(k *Keyring) {
		if _, ok := k.customers[c.Name()]; ok {
			k.fail(c.Name(), "is listed twice")
			return
		}
		k.customers[c.Name()] = c
		for _, key := range keys {
			d := digest(sha256.Sum256([]byte(key)))
			switch owner := k.byKey[d]; {
			case key == "":
				k.fail(c.Name(), "has an empty key")
			case owner != nil && owner != c:
				k.fail(c.Name(), fmt.Sprintf("shares a key with customer %q", owner.Name()))
			default:
				k.byKey[d] = c
			}
		}
	}
}

// New returns the keyring of some customers, or an *Error for each contradiction between
// them, joined.
func New(options ...Option) (*Keyring, error) {
	k := &Keyring{byKey: make(map[digest]*customer.Customer), customers: make(map[string]*customer.Customer)}
	for _, o := range options {
		o(k)
	}
	if len(k.faults) > 0 {
		return nil, errors.Join(k.faults...)
	}
	return k, nil
}

// fail records an error.
func (k *Keyring) fail(name, reason string) {
	k.faults = append(k.faults, &Error{customer: name, reason: reason})
}

// Error reports a customer whose keys are invalid. It never quotes a key.
type Error struct {
	customer string
	reason   string
}

// Error names the customer and the reason.
func (e *Error) Error() string { return fmt.Sprintf("customer %q %s", e.customer, e.reason) }

// Find returns the customer that holds a key, or nil if there is none.
func (k *Keyring) Find(key []byte) *customer.Customer {
	if len(key) == 0 {
		return nil
	}
	return k.byKey[sha256.Sum256(key)]
}

// Customer returns the customer with a name, or nil if there is none.
func (k *Keyring) Customer(name string) *customer.Customer { return k.customers[name] }

// Customers returns the customers in order of their names.
func (k *Keyring) Customers() []*customer.Customer {
	return slices.SortedFunc(maps.Values(k.customers), func(a, b *customer.Customer) int { return strings.Compare(a.Name(), b.Name()) })
}

// CountKeys returns the number of keys of a customer, and how many of them another keyring
// has for the customer of the same name.
func (k *Keyring) CountKeys(name string, other *Keyring) (count, shared int) {
	for d, c := range k.byKey {
		if c.Name() != name {
			continue
		}
		count++
		if o := other.byKey[d]; o != nil && o.Name() == name {
			shared++
		}
	}
	return count, shared
}

// Len returns the number of customers. Without any, requests need no key.
func (k *Keyring) Len() int { return len(k.customers) }
