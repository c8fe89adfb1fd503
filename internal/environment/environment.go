// Package environment defines what a node process is told about the instance on
// which it runs.
package environment

import (
	"net/netip"
	"time"
)

// Environment is read from the settings file at the start and on a reload.
type Environment struct {
	Name        string         // of the instance
	Domain      string         // failure domain of the instance
	Service     string         // service of the own backend server
	Backend     netip.AddrPort // own backend server
	Callers     netip.AddrPort // listener for clients and for the own backend server
	Probes      netip.AddrPort // listener for readiness checks
	Heartbeats  netip.AddrPort // listener for the own backend server's heartbeats
	Links       netip.AddrPort // listener for connections between nodes
	Log         netip.AddrPort // platform log
	Grace       time.Duration  // from SIGTERM to SIGKILL
	Memory      int64          // bytes above which the process is killed
	RetryRatio  float64        // retries allowed for each request of a service
	RetrySlack  float64        // retries allowed beside, in each window
	RetryWindow time.Duration  // length of a window of the retry budget
}
