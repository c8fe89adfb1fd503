// Package prospect tells whether a request that is begun is likely to end well.
package prospect
