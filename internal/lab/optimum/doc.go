// Package optimum computes the maximum worth per second that a deployment can
// reach at a given load. It solves a linear program over the rates of the request
// classes, bounded by the slots of each service. The demand of a class includes
// its nested calls.
package optimum
