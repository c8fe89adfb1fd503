// Package runner decides which requests run on the own backend server, which
// wait and which are refused.
package runner
