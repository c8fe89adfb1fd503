// Package allowance bounds how often requests are sent to servers again, so that
// all nodes together stay within the retry budget of each service.
package allowance
