// Package overload runs a deployment under virtual time and without a network,
// with the decisions that the nodes on the platform make: windows at the entry,
// choice of server, queues by importance, retries and the return of refused
// clients. It shows what part of the limit of a load (package optimum) they
// earn under patterns of overload.
package overload
