// Package environment defines the settings of a node process that depend on the
// instance on which it runs.
package environment

import (
	"net/netip"
	"time"
)

// Environment contains the settings that are read at the start and on a reload.
type Environment struct {
	Instance          string         // name of the instance
	Domain            string         // failure domain of the instance
	Service           string         // service of the node's backend server
	BackendAddr       netip.AddrPort // node's backend server
	CallerAddr        netip.AddrPort // listener for clients and for the node's backend server
	ReadinessAddr     netip.AddrPort // listener for readiness checks
	HeartbeatAddr     netip.AddrPort // listener for heartbeats of the node's backend server
	PeerAddr          netip.AddrPort // listener for connections of other nodes
	LogAddr           netip.AddrPort // platform log
	GracePeriod       time.Duration  // between SIGTERM and SIGKILL
	MemoryLimit       int64          // bytes above which the process is killed
	RetryBudgetRatio  float64        // retries allowed per request of a service
	RetryBudgetSlack  float64        // retries allowed per window in addition to the ratio
	RetryBudgetWindow time.Duration
	QuotaWindow       time.Duration // window in which the requests of a customer are bounded
	QuotaOverrun      float64       // by which the limit of a customer may be exceeded in a window
	QuotaSlack        float64       // requests by which it may be exceeded in addition
	FirstStart        bool          // the whole system starts for the first time
	Pool              bool          // requests compete for pools of servers that differ in speed
}
