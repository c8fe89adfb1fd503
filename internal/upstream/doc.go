// Package upstream runs requests on the node's backend server over a pool of
// HTTP/1.1 connections, each of which carries one request at a time.
package upstream
