// Package publication compares a directory of contracts with the platform log
// and publishes what differs.
package publication
