// Package scenario runs scripts of failures against a deployment under virtual
// time. Scripts are text files for testscript with these commands:
//
//	deploy NAME [SEED]            start a deployment and let it settle
//	load FACTOR [hard]            arrivals relative to normal; clients resend at once
//	quiet                         end the load
//	run DURATION                  let virtual time pass
//	slow SERVICE FACTOR           make runs of a service take longer
//	crash SERVICE N               end the instance of the service's server N
//	restart SERVICE N             start it again
//	lose SERVICE N                end backend server N only; it comes back
//	pause SERVICE N DURATION      stop the process of a node
//	drain SERVICE N               let backend server N leave
//	cut A B, heal A B             cut or restore two failure domains
//	log down|up|replace           change the state of the log
//	log lose N                    lose the answers of the next appends
//	log trim STREAM N             keep only the newest records
//	publish CUSTOMER RATE         publish a contract with another rate
//	poison N GAP                  send a request that crashes servers N times
//	mark                          count from now on
//	expect FIGURE [ARG] OP VALUE  compare a figure, with OP one of == != < <= > >=
//
// Figures: duplicates, falsehoods, partials, inversions (since the start);
// requests, answered (share of the requests since the mark that got a whole
// answer), critical (the same of Critical requests), goodput (per second),
// runs SERVICE N (runs that started since the mark), crashes, versions
// (different versions in force), rate CUSTOMER (smallest contracted rate in
// force at a node), told "OUTCOME REASON" (answers to callers).
package scenario
