// Package speed separates the work of routes from the speed of servers. A node sees
// service times of some routes at some servers; from them it estimates those of the
// others.
package speed
