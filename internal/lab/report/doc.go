// Package report writes the results of experiments as a table, as JSON and as
// plots.
package report
