// Command lab runs simulated servers, the load generator and the experiments of
// papayapath on loopback addresses.
//
// Subcommands:
//
//	log     serve a platform log
//	server  serve one backend server of a deployment
//	load    send the load of a deployment to entries
//	run     run experiments and report their figures
//
// log and server print the address on which they listen and run until they
// are interrupted.
//
// Exit codes:
//
//	0  success, or interrupted as intended
//	1  failure: no free port, no response from a node, a failed experiment or report
//	2  invalid arguments
//
// The figures of an experiment do not affect the exit code of run.
package main
