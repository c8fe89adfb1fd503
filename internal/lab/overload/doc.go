// Package overload is a discrete-event simulation of a deployment under
// overload, without a network. It uses the algorithms of the production nodes:
// admission windows, server selection, priority queues, retry budgets and the
// retry delays of rejected clients. It measures which fraction of the
// theoretical limit (package optimum) they reach under a load pattern.
package overload
