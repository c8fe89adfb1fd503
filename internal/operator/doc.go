// Package operator serves status, metrics and commands of a node to operators
// over HTTP.
package operator
