// Package logserver simulates the platform log: streams of records with
// offsets over HTTP, with a limited append rate, limited retention and
// configurable faults.
package logserver
