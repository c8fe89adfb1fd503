// Package report shows the figures of experiments as a table, as JSON and as
// plots.
package report
