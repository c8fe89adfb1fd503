// Package delay measures the latency that nodes add to a call.
package delay
