// Package environment defines what a node process is told about the instance on
// which it runs.
package environment

import (
	"net/netip"
	"time"
)

// Environment is read from the settings file at the start and on a reload.
type Environment struct {
	Instance          string         // of the instance
	Domain            string         // failure domain of the instance
	Service           string         // service of the own backend server
	BackendAddr       netip.AddrPort // own backend server
	CallerAddr        netip.AddrPort // listener for clients and for the own backend server
	ReadinessAddr     netip.AddrPort // listener for readiness checks
	HeartbeatAddr     netip.AddrPort // listener for the own backend server's heartbeats
	PeerAddr          netip.AddrPort // listener for connections between nodes
	LogAddr           netip.AddrPort // platform log
	GracePeriod       time.Duration  // from SIGTERM to SIGKILL
	MemoryLimit       int64          // bytes above which the process is killed
	RetryBudgetRatio  float64        // retries allowed for each request of a service
	RetryBudgetSlack  float64        // retries allowed beside, in each window
	RetryBudgetWindow time.Duration  // length of a window of the retry budget
}
