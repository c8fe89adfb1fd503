// Package naive is the baseline of the experiments: a proxy on the same kind
// of ports as a node that sends calls to the servers of a service in turn,
// tries each hop up to three more times, admits everything and ignores
// deadlines and retry budgets.
package naive
