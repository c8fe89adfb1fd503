// Package intake limits the rate of the requests that are sent to a backend
// server to the limit that the server names in its answers.
package intake
