// Package naive implements the baseline proxy of the experiments. It has the
// same ports as a node, distributes calls over the servers of a service in
// round-robin order, retries each hop up to three times, admits every request
// and ignores deadlines and retry budgets.
package naive
