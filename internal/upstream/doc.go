// Package upstream keeps the connections to the node's own backend server and
// runs requests over them, one at a time on each.
package upstream
