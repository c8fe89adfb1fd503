// Package logserver is a stand-in for the platform log: streams of records
// with offsets over HTTP, limited appends a second and limited retention, and
// faults that can be set from outside.
package logserver
