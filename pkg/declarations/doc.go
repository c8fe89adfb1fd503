// Package declarations decides which contracts are in force.
//
// The stream declarations of the platform log is the source of truth: what is
// in force at a version is a function of the records up to that position, so
// all nodes come to the same result. Nodes bring each other up to date while
// the log is down, by digests and updates.
package declarations
