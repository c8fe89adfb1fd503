// Package ratelimit holds the requests of each customer, summed over all nodes, within
// its limit. Each node is an entry node, which needs a token for each request, and a
// candidate for the allocation of the parts of the limits.
//
// The decisions are those of the packages quota, allocator and term; this package adds
// the messages between nodes, the calls to the platform log, and the requests that wait.
package ratelimit
