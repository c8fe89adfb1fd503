// Package membership keeps the table of known instances with their services
// and states.
//
// Instances are found by their records in the stream members of the platform
// log, by contact points and by gossip; changes travel on probes, and digests
// repair differences.
package membership
