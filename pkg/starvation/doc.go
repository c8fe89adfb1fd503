// Package starvation finds the kinds of request that are served much less often than
// all requests.
package starvation
