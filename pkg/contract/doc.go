// Package contract defines the agreement with one customer, from which every
// limit in the system follows.
package contract
