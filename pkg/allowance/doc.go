// Package allowance limits the retries of one node so that all nodes together
// stay within the retry budget of each service.
package allowance
