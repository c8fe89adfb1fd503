// Package virtual runs the decisions of a handful of nodes under virtual time,
// over small fakes of the log, the connections between nodes and the backend
// servers. Everything is a function of the seed.
package virtual
