// Package callgraph learns which downstream calls the runs of a service make.
// A node uses it to report the admission thresholds of downstream services to
// its callers.
//
// Propagating the admission state of callees up the call graph follows the
// price propagation of Rajomon (Xing et al., 2025), with thresholds in place
// of prices.
package callgraph
