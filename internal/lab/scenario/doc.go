// Package scenario runs failure injection scripts against a simulated deployment
// in virtual time. Scripts are testscript files with these commands:
//
//	deploy NAME [SEED]            start a deployment and wait until it is ready
//	load FACTOR [hard]            set the load relative to normal; hard: immediate retries
//	quiet                         stop the load
//	run DURATION                  advance virtual time
//	slow SERVICE FACTOR           multiply the run times of a service
//	crash SERVICE N               crash the instance of the service's server N
//	restart SERVICE N             restart that instance
//	lose SERVICE N                crash backend server N only; it restarts by itself
//	pause SERVICE N DURATION      pause the process of a node
//	drain SERVICE N               drain backend server N
//	cut A B, heal A B             partition or reconnect two failure domains
//	log down|up|replace           change the state of the platform log
//	log lose N                    lose the replies to the next N appends
//	log trim STREAM N             keep only the newest records
//	publish CUSTOMER RATE         publish a contract with another rate
//	poison N GAP                  send N requests that crash servers, GAP apart
//	mark                          start a new measurement
//	expect METRIC [ARG] OP VALUE  compare a metric, with OP one of == != < <= > >=
//
// Metrics: duplicates, falsehoods, partials, inversions (since the start);
// requests, answered (fraction of the requests since the mark that got a complete
// answer), critical (the same for Critical requests), goodput (complete answers
// per second), runs SERVICE N (runs started since the mark), crashes, versions
// (number of distinct declaration versions in force), rate CUSTOMER (lowest
// contracted rate in force at any node), told "OUTCOME REASON" (answers to
// callers with that outcome and reason).
package scenario
