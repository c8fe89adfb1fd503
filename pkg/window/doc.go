// Package window bounds how many requests of a route a node has begun and not
// yet answered, by the time that they wait for a place at servers.
package window
