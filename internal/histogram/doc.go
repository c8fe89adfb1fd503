// Package histogram counts durations for the quantiles in the metrics.
package histogram
