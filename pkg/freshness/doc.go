// Package freshness tells whether the configuration in force may be out of date.
package freshness
