// Package delay measures the time that nodes add to a call.
package delay
