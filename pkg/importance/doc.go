// Package importance defines the importance levels that a contract assigns to
// the calls of a customer.
package importance
