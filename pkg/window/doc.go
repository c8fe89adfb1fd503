// Package window implements an adaptive concurrency limit for the requests of
// one route at an entry node. The limit follows the queueing delay that the
// requests see at the servers below.
package window
