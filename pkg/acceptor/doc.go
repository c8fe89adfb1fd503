// Package acceptor is the server side of a call: it admits, queues, runs and
// answers the calls that other nodes offer to the own backend server.
package acceptor
