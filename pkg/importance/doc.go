// Package importance defines the classes of importance that a contract gives
// to a customer's calls.
package importance
