// Package journal writes numbered events as log lines without ever blocking,
// and bounds how many it writes.
package journal
