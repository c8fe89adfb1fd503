// Package ratio counts which part of some events was a success, recent ones more than
// older ones.
package ratio
