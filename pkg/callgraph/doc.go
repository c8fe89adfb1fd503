// Package callgraph learns which calls the runs of a service make, so that a
// node can tell its callers which thresholds their calls will meet further
// down the call graph.
//
// Carrying the admission state of callees up the graph follows the price
// propagation of Rajomon (Xing et al., 2025); thresholds take the place of
// prices.
package callgraph
