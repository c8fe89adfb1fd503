// Package requestcount counts the requests of a service as the rule on its retry budget
// does.
package requestcount
