// Package virtual simulates a deployment in virtual time. It runs production
// nodes on fakes of the platform log, the connections between nodes and the
// backend servers. A simulation is deterministic for a given seed.
package virtual
