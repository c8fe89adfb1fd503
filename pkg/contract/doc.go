// Package contract defines the contract of a customer, from which the limits on
// its calls are derived.
package contract
